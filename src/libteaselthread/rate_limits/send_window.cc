#include "libteaselthread/rate_limits/send_window.h"

#include <algorithm>

namespace teaselthread {
namespace {

// Covers varying network delays to the endpoint.
constexpr Duration kDelayMargin = std::chrono::milliseconds(150);
// Multiple of the even pace at which a node may send.
constexpr int kMaxPaceMultiple = 2;

}  // namespace

void SendWindow::OnSend(Timestamp now, Duration window) {
  while (!sends_.empty() && sends_.front() + window + kDelayMargin <= now)
    sends_.pop_front();
  sends_.push_back(now);
}

Timestamp SendWindow::NextSendAt(uint32_t requests, Duration window) const {
  if (sends_.empty())
    return Timestamp{};
  const Timestamp paced_at =
      sends_.back() + window / (kMaxPaceMultiple * requests);
  if (sends_.size() < requests)
    return paced_at;
  const Timestamp in_window_of = sends_[sends_.size() - requests];
  return std::max(paced_at, in_window_of + window + kDelayMargin);
}

Timestamp SendWindow::last_sent_at() const {
  return sends_.empty() ? Timestamp{} : sends_.back();
}

}  // namespace teaselthread
