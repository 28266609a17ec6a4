#include "teaselthread/requests/request_guard.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace teaselthread {
namespace {

// Writes to a caller that does not read are cancelled this long after the
// deadline.
constexpr auto kWriteGracePeriod = std::chrono::milliseconds(300);

}  // namespace

RequestGuard::RequestGuard(tcp::socket* caller, Clock::time_point deadline)
    : caller_(caller), timer_(caller->get_executor()), deadline_(deadline) {}

RequestGuard::RequestGuard(const asio::any_io_executor& executor,
                           Clock::time_point deadline)
    : caller_(nullptr), timer_(executor), deadline_(deadline) {}

void RequestGuard::Start() {
  active_ = true;
  if (caller_)
    WatchCaller();
  Schedule();
}

void RequestGuard::Finish() {
  active_ = false;
  upstream_ = nullptr;
  timer_.cancel();
  CancelCaller();
}

void RequestGuard::CancelCaller() {
  boost::system::error_code ignored;
  if (caller_)
    caller_->cancel(ignored);
}

void RequestGuard::Attach(tcp::socket* upstream,
                          Clock::duration silence_limit,
                          std::function<bool()> may_abandon) {
  if (interruption_ == AttemptFailure::kSilent)
    interruption_.reset();
  upstream_ = upstream;
  may_abandon_ = std::move(may_abandon);
  OnProgress(silence_limit);
  Schedule();
}

void RequestGuard::ClearSilence() {
  if (interruption_ != AttemptFailure::kSilent)
    return;
  interruption_.reset();
  Schedule();
}

void RequestGuard::WatchFirstByte(Clock::duration limit,
                                  std::function<void()> on_silence) {
  silence_report_at_ = Clock::now() + limit;
  on_silence_ = std::move(on_silence);
  Schedule();
}

void RequestGuard::Detach() {
  upstream_ = nullptr;
  may_abandon_ = nullptr;
  on_silence_ = nullptr;
  silence_limit_ = Clock::duration::max();
  suspended_at_.reset();
}

void RequestGuard::OnProgress(Clock::duration silence_limit) {
  last_progress_ = Clock::now();
  silence_limit_ = silence_limit;
  suspended_at_.reset();
  ScheduleIfEarlier();
}

void RequestGuard::SuspendSilenceLimit() {
  suspended_at_ = Clock::now();
}

void RequestGuard::ResumeSilenceLimit() {
  if (suspended_at_)
    last_progress_ += Clock::now() - *suspended_at_;
  suspended_at_.reset();
  ScheduleIfEarlier();
}

bool RequestGuard::HasSilenceLimit() const {
  return upstream_ && !suspended_at_ &&
         silence_limit_ != Clock::duration::max();
}

void RequestGuard::WatchCaller() {
  caller_->async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure && self->active_)
          self->OnCallerReadable();
      });
}

void RequestGuard::OnCallerReadable() {
  char byte = 0;
  const ssize_t count =
      ::recv(caller_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_spurious =
      count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (is_spurious) {
    WatchCaller();
    return;
  }
  // Any bytes belong to the next request, which is read after this one.
  if (count <= 0)
    Interrupt(AttemptFailure::kCallerGone);
}

RequestGuard::Clock::time_point RequestGuard::NextDue() const {
  Clock::time_point due =
      interruption_ ? deadline_ + kWriteGracePeriod : deadline_;
  if (HasSilenceLimit())
    due = std::min(due, last_progress_ + silence_limit_);
  if (on_silence_)
    due = std::min(due, silence_report_at_);
  return due;
}

void RequestGuard::ScheduleIfEarlier() {
  if (active_ && NextDue() < timer_.expiry())
    Schedule();
}

void RequestGuard::Schedule() {
  timer_.expires_at(NextDue());
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure && self->active_)
          self->OnTimer();
      });
}

void RequestGuard::OnTimer() {
  const Clock::time_point now = Clock::now();
  if (on_silence_ && now >= silence_report_at_)
    std::exchange(on_silence_, nullptr)();
  if (now >= deadline_ + kWriteGracePeriod) {
    Interrupt(AttemptFailure::kTimedOut);
    CancelCaller();
    return;
  }
  if (now >= deadline_) {
    Interrupt(AttemptFailure::kTimedOut);
  } else if (HasSilenceLimit() && now - last_progress_ >= silence_limit_) {
    OnSilence();
    return;
  }
  Schedule();
}

void RequestGuard::OnSilence() {
  if (!may_abandon_ || may_abandon_()) {
    Interrupt(AttemptFailure::kSilent);
    return;
  }
  last_progress_ = Clock::now();
  Schedule();
}

void RequestGuard::Interrupt(AttemptFailure reason) {
  if (!is_final())
    interruption_ = reason;
  if (upstream_) {
    boost::system::error_code ignored;
    upstream_->cancel(ignored);
  }
  if (is_final() && on_final_)
    std::exchange(on_final_, nullptr)(*interruption_);
}

}  // namespace teaselthread
