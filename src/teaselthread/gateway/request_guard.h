#ifndef TEASELTHREAD_GATEWAY_REQUEST_GUARD_H_
#define TEASELTHREAD_GATEWAY_REQUEST_GUARD_H_

#include <functional>
#include <memory>
#include <optional>

#include "libteaselthread/attempts/request_attempts.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Interrupts a request: when its caller has gone, when its time is over, and
// when an endpoint says nothing for too long. The connection to the endpoint
// is cancelled, so that the attempt under way ends with an error.
class RequestGuard : public std::enable_shared_from_this<RequestGuard> {
 public:
  using Clock = std::chrono::steady_clock;

  RequestGuard(tcp::socket* caller, Clock::time_point deadline);

  // Begins to watch; until Finish is called, `caller` must live.
  void Start();
  void Finish();

  // An attempt begins to use the connection `upstream`.
  void Attach(tcp::socket* upstream, Clock::duration silence_limit);
  void Detach();
  // Calls `on_silence` once if the endpoint has sent nothing for so long.
  void WatchFirstByte(Clock::duration limit, std::function<void()> on_silence);
  void StopWatchingFirstByte() { on_silence_ = nullptr; }
  // The endpoint has sent something. The next limit counts from now.
  void OnProgress(Clock::duration silence_limit);
  // The time on which a limit for silence does not run, since the caller is
  // the one who is slow.
  void SuspendSilence() { silence_limit_ = Clock::duration::max(); }

  // Why the attempt was cancelled, if it was.
  const std::optional<AttemptFailure>& interruption() const {
    return interruption_;
  }
  // The caller has gone or time is over: no further attempt makes sense.
  bool is_final() const {
    return interruption_ && *interruption_ != AttemptFailure::kSilent;
  }

 private:
  void WatchCaller();
  void OnCallerReadable();
  void Schedule();
  void OnTimer();
  void Interrupt(AttemptFailure reason);

  tcp::socket* caller_;
  tcp::socket* upstream_ = nullptr;
  asio::steady_timer timer_;
  Clock::time_point deadline_;
  Clock::time_point last_progress_;
  Clock::duration silence_limit_ = Clock::duration::max();
  Clock::time_point judge_at_;
  std::function<void()> on_silence_;
  std::optional<AttemptFailure> interruption_;
  bool active_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_REQUEST_GUARD_H_
