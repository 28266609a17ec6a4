#ifndef REVIEW_HARNESS_2_STORE_H_
#define REVIEW_HARNESS_2_STORE_H_

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

// A stand-in of the platform's metadata store: objects by kind and name, lists
// and watches. It answers at once and loses nothing.
class Store {
 public:
  Store();
  int port() const { return listener_->port(); }

  // Writes an object, as the operator or a worker does.
  void Put(const std::string& kind,
           const std::string& name,
           const boost::json::value& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    boost::json::object event;
  };
  struct Reply {
    int status = 200;
    boost::json::object body;
  };

  void Serve(Connection& connection);
  Reply Respond(const Head& head, const std::string& body);
  Reply List(const std::string& kind);
  Reply Watch(const std::string& kind, uint64_t revision, int wait_ms);
  void PutLocked(const std::string& kind,
                 const std::string& name,
                 const boost::json::value& spec);
  bool RemoveLocked(const std::string& kind, const std::string& name);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 10;
  std::map<std::pair<std::string, std::string>, boost::json::object> objects_;
  std::vector<Change> changes_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_2_STORE_H_
