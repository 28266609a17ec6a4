#include "libteaselthread/callers/caller_connections.h"

#include <algorithm>

namespace teaselthread {
namespace {

// Descriptors that callers never get: files, listeners, peers, the store,
// metrics and idle connections to endpoints. An eighth, between these bounds.
constexpr size_t kMinSpare = 64;
constexpr size_t kMaxSpare = 512;

size_t SpareFor(size_t descriptors) {
  return std::clamp(descriptors / 8, kMinSpare, kMaxSpare);
}

}  // namespace

size_t CallerConnections::LimitFor(size_t descriptors) {
  const size_t spare = SpareFor(descriptors);
  return descriptors > spare + 2 ? (descriptors - spare) / 2 : 1;
}

size_t CallerConnections::AdminLimitFor(size_t descriptors) {
  return SpareFor(descriptors) / 4;
}

ClosingReason CallerConnections::ReasonFor(State state) {
  switch (state) {
    case State::kEnding:
      return ClosingReason::kRefusedBefore;
    case State::kSilent:
      return ClosingReason::kSilent;
    default:
      return ClosingReason::kIdle;
  }
}

CallerConnections::Admission CallerConnections::Admit(Timestamp now) {
  Admission admission;
  if (states_.size() >= limit_) {
    for (Queue& queue : queues_) {
      if (queue.empty())
        continue;
      admission.close = queue.begin()->second;
      admission.closed_state = states_.at(*admission.close).state;
      Remove(*admission.close);
      break;
    }
    if (!admission.close)
      return admission;
  }
  admission.admitted = true;
  admission.id = ++last_id_;
  states_.emplace(admission.id, Entry{State::kSilent, now});
  QueueOf(State::kSilent)->insert({now, admission.id});
  return admission;
}

void CallerConnections::SetState(Id id, State state, Timestamp now) {
  const auto found = states_.find(id);
  if (found == states_.end() || found->second.state == state)
    return;
  if (Queue* queue = QueueOf(found->second.state))
    queue->erase({found->second.since, id});
  found->second = {state, now};
  if (Queue* queue = QueueOf(state))
    queue->insert({now, id});
}

void CallerConnections::Remove(Id id) {
  const auto found = states_.find(id);
  if (found == states_.end())
    return;
  if (Queue* queue = QueueOf(found->second.state))
    queue->erase({found->second.since, id});
  states_.erase(found);
}

CallerConnections::Queue* CallerConnections::QueueOf(State state) {
  const auto index = static_cast<size_t>(state);
  return index < queues_.size() ? &queues_[index] : nullptr;
}

}  // namespace teaselthread
