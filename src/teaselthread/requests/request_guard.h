#ifndef TEASELTHREAD_REQUESTS_REQUEST_GUARD_H_
#define TEASELTHREAD_REQUESTS_REQUEST_GUARD_H_

#include <functional>
#include <memory>
#include <optional>

#include "libteaselthread/attempts/request_attempts.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Interrupts a request when its caller disconnects, when its deadline passes,
// or when an endpoint makes no progress for too long. It cancels the operations
// on the connection to the endpoint. Whoever reads from that connection must
// check interruption() before each read, since nothing is cancelled between two
// reads.
class RequestGuard : public std::enable_shared_from_this<RequestGuard> {
 public:
  using Clock = std::chrono::steady_clock;

  RequestGuard(tcp::socket* caller, Clock::time_point deadline);
  // Guards a second attempt that runs in parallel with the first one. It does
  // not watch the caller; the first attempt's guard does.
  RequestGuard(const asio::any_io_executor& executor,
               Clock::time_point deadline);

  // Starts watching. The caller's socket must outlive the call of Finish.
  void Start();
  void Finish();

  // Sets a callback for the caller's disconnection and the deadline.
  void set_on_final(std::function<void(AttemptFailure)> on_final) {
    on_final_ = std::move(on_final);
  }
  // Cancels the current attempt. No further one makes sense.
  void Cancel(AttemptFailure reason) { Interrupt(reason); }
  // The current attempt has ended by silence and another one, which another
  // guard watches, continues.
  void ClearSilence();

  // Called when an attempt starts to use the connection `upstream`. Each time
  // that the endpoint has been silent for the limit, `may_abandon` is asked
  // whether the attempt is to be cancelled; without it, it is.
  void Attach(tcp::socket* upstream,
              Clock::duration silence_limit,
              std::function<bool()> may_abandon = nullptr);
  void Detach();
  // Calls `on_silence` once if the endpoint sends nothing within `limit`.
  void WatchFirstByte(Clock::duration limit, std::function<void()> on_silence);
  void StopWatchingFirstByte() { on_silence_ = nullptr; }
  // Called when the response has progressed. `silence_limit` starts now.
  void OnProgress(Clock::duration silence_limit);
  // The silence limit does not run while data is written to the caller, as a
  // slow caller must not count against the endpoint.
  void SuspendSilenceLimit();
  void ResumeSilenceLimit();

  // Why the current attempt was cancelled, if it was.
  const std::optional<AttemptFailure>& interruption() const {
    return interruption_;
  }
  // Whether no further attempt makes sense: the caller has disconnected, the
  // deadline has passed, or a parallel attempt has succeeded.
  bool is_final() const {
    return interruption_ && *interruption_ != AttemptFailure::kSilent;
  }

 private:
  void WatchCaller();
  void OnCallerReadable();
  bool HasSilenceLimit() const;
  Clock::time_point NextDue() const;
  void Schedule();
  void ScheduleIfEarlier();
  void OnTimer();
  // Cancels the attempt or, if it may not be abandoned, starts the silence
  // limit anew.
  void OnSilence();
  void Interrupt(AttemptFailure reason);
  // Cancels the operations on the caller's socket.
  void CancelCaller();

  tcp::socket* caller_;  // null if it is not watched
  tcp::socket* upstream_ = nullptr;
  asio::steady_timer timer_;
  Clock::time_point deadline_;
  Clock::time_point last_progress_;  // or when the limit was last reached
  Clock::duration silence_limit_ = Clock::duration::max();
  std::optional<Clock::time_point> suspended_at_;
  Clock::time_point silence_report_at_;
  std::function<bool()> may_abandon_;
  std::function<void()> on_silence_;
  std::function<void(AttemptFailure)> on_final_;
  std::optional<AttemptFailure> interruption_;
  bool active_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_GUARD_H_
