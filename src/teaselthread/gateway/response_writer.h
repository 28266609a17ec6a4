#ifndef TEASELTHREAD_GATEWAY_RESPONSE_WRITER_H_
#define TEASELTHREAD_GATEWAY_RESPONSE_WRITER_H_

#include <functional>
#include <string>

#include "teaselthread/asio.h"
#include "teaselthread/gateway/gateway_metrics.h"
#include "teaselthread/gateway/stream_output.h"

namespace teaselthread {

// Status and header fields of a response to a caller. Assigning Beast's fields
// may allocate and therefore throw.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct ResponseHead {
  int status = 0;
  http::fields fields;
};

// Writes one response to a caller's connection, either at once or as a stream
// of events.
class ResponseWriter {
 public:
  struct Options {
    bool keep_alive = true;
    bool is_http11 = true;  // chunked transfer encoding is supported
    bool is_head = false;   // the response has no body
    // Queried when the head is written, as the gateway may begin to leave while
    // the request is in progress.
    std::function<bool()> may_keep_alive = [] { return true; };
    // Without buffers, no stream can be written.
    StreamOutput::Options stream = {};
  };

  ResponseWriter(tcp::socket* socket, Options options)
      : socket_(socket), options_(std::move(options)) {}
  ~ResponseWriter();
  ResponseWriter(const ResponseWriter&) = delete;
  ResponseWriter& operator=(const ResponseWriter&) = delete;

  // Whether writing of the response has begun.
  bool begun() const { return begun_; }
  // Whether the connection can be used for another request.
  bool is_usable() const { return usable_ && options_.keep_alive; }

  // How much of the response was written.
  ResponseEnd end() const;

  // Each returns false once writing to the caller has failed. Events may still
  // wait to be sent when WriteEvents returns, see StreamOutput; EndStream waits
  // until all are sent.
  asio::awaitable<bool> WriteResponse(ResponseHead head, std::string body);
  asio::awaitable<bool> BeginStream(ResponseHead head,
                                    std::string first_events);
  asio::awaitable<bool> WriteEvents(std::string events);
  asio::awaitable<bool> EndStream();
  // Ends the response early. The connection has to be reset, so that the caller
  // does not take the partial response for a complete one.
  void Abort();
  bool is_aborted() const { return is_aborted_; }

 private:
  asio::awaitable<bool> WriteText(std::string text);
  std::string Chunk(const std::string& bytes) const;
  // Decides whether the response that begins keeps the connection open.
  bool DecideKeepAlive();

  tcp::socket* socket_;
  Options options_;
  bool begun_ = false;
  bool usable_ = true;
  std::shared_ptr<StreamOutput> stream_;  // once a stream has begun
  bool is_aborted_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_RESPONSE_WRITER_H_
