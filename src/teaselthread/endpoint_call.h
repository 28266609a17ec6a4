#ifndef TEASELTHREAD_ENDPOINT_CALL_H_
#define TEASELTHREAD_ENDPOINT_CALL_H_

#include <memory>

#include "libteaselthread/endpoint.h"
#include "libteaselthread/requests/outcome.h"
#include "teaselthread/endpoint_connection_pool.h"
#include "teaselthread/peers/frame_queue.h"

namespace teaselthread {

struct EndpointCallTiming {
  Duration connect_timeout;
  Duration progress_timeout;  // between two reads of a streamed response
  Timestamp deadline;
  // Nothing is sent to the endpoint after this time. An admission is valid only
  // for as long as the owner can be out of contact without noticing it, for
  // instance because its process was paused.
  Timestamp send_by;
};

// One HTTP call to one endpoint, whose response is written as frames.
class EndpointCall {
 public:
  using Clock = std::function<Timestamp()>;

  EndpointCall(const Endpoint& endpoint,
               const wire::ForwardRequest& request,
               EndpointCallTiming timing,
               EndpointConnectionPool* pool,
               Clock clock);

  // Returns how the call ended. Writes only the frames of the response itself;
  // writing a refusal or an unknown outcome is left to the caller.
  asio::awaitable<Outcome> Run(FrameSink& sink);

  // From the start of sending the request to the response head.
  std::optional<Duration> first_byte_latency() const {
    return first_byte_latency_;
  }

 private:
  enum class Attempt { kAnswered, kBroken, kTruncated, kTimedOut, kCancelled };

  asio::awaitable<std::optional<tcp::socket>> OpenSocket();
  asio::awaitable<Attempt> Exchange(tcp::socket& socket,
                                    FrameSink& sink,
                                    bool* response_started);
  http::request<http::string_body> MakeRequest() const;
  Duration ReadTimeout() const;

  const Endpoint endpoint_;
  const wire::ForwardRequest& request_;
  EndpointCallTiming timing_;
  EndpointConnectionPool* pool_;
  Clock clock_;
  bool socket_is_reused_ = false;
  bool socket_is_reusable_ = false;
  std::optional<Duration> first_byte_latency_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_CALL_H_
