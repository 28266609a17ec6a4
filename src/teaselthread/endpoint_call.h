#ifndef TEASELTHREAD_ENDPOINT_CALL_H_
#define TEASELTHREAD_ENDPOINT_CALL_H_

#include <memory>

#include "libteaselthread/endpoint.h"
#include "libteaselthread/requests/outcome.h"
#include "teaselthread/endpoint_pool.h"
#include "teaselthread/peers/frame_queue.h"

namespace teaselthread {

struct EndpointCallTiming {
  Duration connect_timeout;
  Duration progress_timeout;  // silence on a streamed answer
  Timestamp deadline;
  // An admission does not hold for longer than the owner may be out of contact
  // unawares: after this nothing is sent, as when the process was paused.
  Timestamp send_by;
};

// One HTTP call to one endpoint, whose answer goes out as frames.
class EndpointCall {
 public:
  using Clock = std::function<Timestamp()>;

  EndpointCall(const Endpoint& endpoint,
               const wire::ForwardRequest& request,
               EndpointCallTiming timing,
               EndpointPool* pool,
               Clock clock);

  // Returns how the call ended; only frames of the answer itself are written.
  asio::awaitable<Outcome> Run(FrameSink& sink);

  // From the sending of the request to the answer's head.
  std::optional<Duration> first_byte_latency() const {
    return first_byte_latency_;
  }

 private:
  enum class Attempt { kAnswered, kBroken, kTruncated, kTimedOut, kCancelled };

  asio::awaitable<std::optional<tcp::socket>> OpenSocket();
  asio::awaitable<Attempt> Exchange(tcp::socket& socket,
                                    FrameSink& sink,
                                    bool* answer_begun);
  http::request<http::string_body> MakeRequest() const;
  Duration SilenceLimit() const;

  const Endpoint endpoint_;
  const wire::ForwardRequest& request_;
  EndpointCallTiming timing_;
  EndpointPool* pool_;
  Clock clock_;
  bool socket_is_reused_ = false;
  bool socket_is_reusable_ = false;
  std::optional<Duration> first_byte_latency_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_CALL_H_
