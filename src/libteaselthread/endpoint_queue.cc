#include "libteaselthread/endpoint_queue.h"

#include <algorithm>
#include <tuple>

namespace teaselthread {
namespace {

// Each call moves the average service time by 1/kAverageDivisor of the
// difference.
constexpr int kAverageDivisor = 8;

}  // namespace

void EndpointQueue::Start(const AdmissionRequest& request, Timestamp now) {
  running_.emplace(request.id, RunningCall{request.customer, now});
}

uint32_t EndpointQueue::RunningStartedBy(Timestamp cutoff) const {
  return static_cast<uint32_t>(std::count_if(
      running_.begin(), running_.end(),
      [&](const auto& item) { return item.second.started <= cutoff; }));
}

void EndpointQueue::Enqueue(const AdmissionRequest& request, Timestamp now) {
  const Duration left = request.deadline - now;
  waiting_.push_back({request, now + std::min(left, request.max_wait)});
}

void EndpointQueue::Remove(CallId id, Timestamp now) {
  std::erase_if(waiting_,
                [id](const auto& call) { return call.request.id == id; });
  auto found = running_.find(id);
  if (found == running_.end())
    return;
  const Duration service_time = now - found->second.started;
  const bool is_first = average_service_time_ == Duration::zero();
  average_service_time_ =
      is_first ? service_time
               : average_service_time_ +
                     (service_time - average_service_time_) / kAverageDivisor;
  running_.erase(found);
}

std::optional<AdmissionRequest> EndpointQueue::TakeNext() {
  if (waiting_.empty())
    return std::nullopt;
  const auto rank = [this](const WaitingCall& call) {
    const AdmissionRequest& request = call.request;
    return std::tuple(request.priority, RunningOf(request.customer),
                      request.deadline, request.id);
  };
  auto next = std::min_element(
      waiting_.begin(), waiting_.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  AdmissionRequest taken = next->request;
  waiting_.erase(next);
  return taken;
}

std::vector<AdmissionRequest> EndpointQueue::TakeExpired(Timestamp now) {
  std::vector<AdmissionRequest> expired;
  std::erase_if(waiting_, [&](const WaitingCall& call) {
    if (call.wait_until > now)
      return false;
    expired.push_back(call.request);
    return true;
  });
  return expired;
}

std::vector<CallId> EndpointQueue::TakeAllWaiting() {
  std::vector<CallId> ids;
  for (const WaitingCall& call : waiting_)
    ids.push_back(call.request.id);
  waiting_.clear();
  return ids;
}

Duration EndpointQueue::ExpectedWait(int limit) const {
  const auto slots = std::max(limit, 1);
  return average_service_time_ * static_cast<int64_t>(waiting_.size() + 1) /
         slots;
}

uint32_t EndpointQueue::RunningOf(const std::string& customer) const {
  return static_cast<uint32_t>(std::count_if(
      running_.begin(), running_.end(),
      [&](const auto& item) { return item.second.customer == customer; }));
}

}  // namespace teaselthread
