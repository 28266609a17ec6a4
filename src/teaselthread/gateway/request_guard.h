#ifndef TEASELTHREAD_GATEWAY_REQUEST_GUARD_H_
#define TEASELTHREAD_GATEWAY_REQUEST_GUARD_H_

#include <functional>
#include <memory>
#include <optional>

#include "libteaselthread/attempts/request_attempts.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Interrupts a request when its caller disconnects, when its deadline passes,
// or when an endpoint sends nothing for too long. It cancels the operations on
// the connection to the endpoint, so that the current attempt ends with an
// error.
class RequestGuard : public std::enable_shared_from_this<RequestGuard> {
 public:
  using Clock = std::chrono::steady_clock;

  RequestGuard(tcp::socket* caller, Clock::time_point deadline);

  // Starts watching. The caller's socket must outlive the call of Finish.
  void Start();
  void Finish();

  // Called when an attempt starts to use the connection `upstream`.
  void Attach(tcp::socket* upstream, Clock::duration silence_limit);
  void Detach();
  // Calls `on_silence` once if the endpoint sends nothing within `limit`.
  void WatchFirstByte(Clock::duration limit, std::function<void()> on_silence);
  void StopWatchingFirstByte() { on_silence_ = nullptr; }
  // Called when the endpoint has sent something. `silence_limit` starts now.
  void OnProgress(Clock::duration silence_limit);
  // Suspends the silence limit while data is written to the caller, as a slow
  // caller must not count against the endpoint.
  void SuspendSilenceLimit() { silence_limit_ = Clock::duration::max(); }

  // Why the current attempt was cancelled, if it was.
  const std::optional<AttemptFailure>& interruption() const {
    return interruption_;
  }
  // Whether no further attempt makes sense: the caller has disconnected or the
  // deadline has passed.
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
  Clock::time_point silence_report_at_;
  std::function<void()> on_silence_;
  std::optional<AttemptFailure> interruption_;
  bool active_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_REQUEST_GUARD_H_
