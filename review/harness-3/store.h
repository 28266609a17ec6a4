#ifndef REVIEW_HARNESS_3_STORE_H_
#define REVIEW_HARNESS_3_STORE_H_

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "asio.h"
#include "record.h"

namespace review {

// Stand-in for the platform's store: objects by kind and name, one revision
// counter, watches, and restoration from an older copy.
class Store {
 public:
  Store(asio::io_context* io, Record* record);

  // Another address of the store. Each gateway has its own, so that it can be
  // cut off from the store alone.
  uint16_t AddPort();
  // Calls that come to the port are not answered while it is cut.
  void SetCut(uint16_t port, bool cut);
  // What the operator and the workers write.
  void Put(const std::string& kind,
           const std::string& name,
           boost::json::object spec);
  void Remove(const std::string& kind, const std::string& name);
  bool Has(const std::string& kind, const std::string& name) const;

  // While it is down, the store resets all connections.
  void SetDown(bool down);
  bool is_down() const { return is_down_; }
  // While it is busy, the store answers all calls with 503.
  void SetBusy(bool busy);
  void TakeCopy();
  // Continues from the copy with a new era.
  void Restore();

 private:
  struct Object {
    uint64_t revision = 0;
    boost::json::value spec;
    boost::json::value status;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    boost::json::object object;
    bool removed = false;
  };
  using Objects = std::map<std::string, Object>;
  struct Content {
    uint64_t revision = 10;
    std::map<std::string, Objects> kinds;
    std::vector<Event> events;
  };
  using Request = http::request<http::string_body>;
  struct Reply {
    int status = 200;
    std::string body;
    bool is_cut = false;
  };
  struct Target {
    std::string kind;
    std::string name;
    bool is_status = false;
    std::map<std::string, std::string> query;
  };

  static Target Parse(const std::string& target);
  static boost::json::object ToJson(const std::string& name, const Object& of);
  struct Port {
    explicit Port(asio::io_context* io) : acceptor(*io, Loopback(0)) {}

    tcp::acceptor acceptor;
    bool is_cut = false;
  };

  asio::awaitable<void> Accept(Port* port);
  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket, Port* port);
  asio::awaitable<Reply> Handle(const Request& request);
  asio::awaitable<Reply> Watch(std::string kind,
                               uint64_t since,
                               milliseconds wait);
  Reply List(const Target& target) const;
  Reply Change(const Request& request, const Target& target);
  void Note(const std::string& kind,
            const std::string& name,
            const Object& object,
            bool removed);
  void WakeWatches();

  asio::io_context* io_;
  Record* record_;
  std::map<uint16_t, std::unique_ptr<Port>> ports_;
  Content content_;
  Content copy_;
  uint64_t era_ = 1;
  bool is_down_ = false;
  bool is_busy_ = false;
  std::set<asio::steady_timer*> watches_;
  std::set<std::shared_ptr<tcp::socket>> sockets_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_STORE_H_
