#ifndef TEASELTHREAD_TESTS_STREAMS_RECORD_STORE_H_
#define TEASELTHREAD_TESTS_STREAMS_RECORD_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "platform/platform_codec.h"
#include "teaselthread/asio.h"

namespace teaselthread::test {

// Stands in for the store in the test process: keeps the objects of one kind,
// and can be restored from a copy of them.
class RecordStore {
 public:
  struct Object {
    uint64_t revision = 0;
    boost::json::value content;
  };

  explicit RecordStore(asio::io_context* io,
                       StoreKind kind = StoreKind::kStreams);

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Takes the copy that Restore returns to.
  void Copy() { copy_ = objects; }
  // Also begins a new epoch.
  void Restore();

  std::map<std::string, Object> objects;  // by name
  int reads = 0;
  int writes = 0;
  bool is_down = false;       // calls get 503
  int unanswered_writes = 0;  // the next ones are not applied either
  // Is restored once more between the next write and its response.
  bool restores_after_write = false;

 private:
  using Request = http::request<http::string_body>;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(tcp::socket socket);
  // Returns the status. A list is appended to `body`.
  int Apply(const Request& request, std::string* body);
  int Write(const Request& request, const std::string& name);
  std::string MakeList() const;

  platform::PlatformCodec codec_;
  tcp::acceptor acceptor_;
  StoreKind kind_;
  std::map<std::string, Object> copy_;
  uint64_t revision_ = 1;
  uint64_t epoch_ = 1;
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_STREAMS_RECORD_STORE_H_
