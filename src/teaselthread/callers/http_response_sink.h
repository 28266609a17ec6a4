#ifndef TEASELTHREAD_CALLERS_HTTP_RESPONSE_SINK_H_
#define TEASELTHREAD_CALLERS_HTTP_RESPONSE_SINK_H_

#include <string>

#include "teaselthread/callers/response_sink.h"

namespace teaselthread {

// Writes a response to a caller's connection: an event stream in chunks as they
// arrive, any other response in one piece once it is complete.
class HttpResponseSink : public ResponseSink {
 public:
  HttpResponseSink(tcp::socket* socket,
                   std::string request_id,
                   bool keep_alive);

  asio::awaitable<bool> OnHead(const RelayHead& head,
                               const std::string& next_address) override;
  asio::awaitable<bool> OnData(std::string bytes) override;
  asio::awaitable<void> OnFinish(const Outcome& outcome) override;

  // Whether the connection can take another request.
  bool connection_is_usable() const { return connection_is_usable_; }

 private:
  http::response<http::string_body> MakeResponse() const;
  asio::awaitable<void> WriteWhole(http::response<http::string_body> response);

  tcp::socket* socket_;
  std::string request_id_;
  bool keep_alive_;
  RelayHead head_;
  std::string next_address_;
  std::string body_;
  bool streaming_ = false;
  bool connection_is_usable_ = true;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_HTTP_RESPONSE_SINK_H_
