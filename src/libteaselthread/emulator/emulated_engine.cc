#include "libteaselthread/emulator/emulated_engine.h"

#include <algorithm>
#include <utility>

namespace teaselthread::emulator {
namespace {

uint64_t TotalTokens(const std::vector<PromptPart>& prompt) {
  uint64_t tokens = 0;
  for (const PromptPart& part : prompt)
    tokens += part.tokens;
  return tokens;
}

Duration Milliseconds(double ms) {
  return Duration(static_cast<Duration::rep>(ms * 1'000));
}

}  // namespace

EmulatedEngine::EmulatedEngine(VirtualClock* clock, EngineParameters parameters)
    : clock_(clock), parameters_(parameters), cache_(parameters.kv_tokens) {}

void EmulatedEngine::Submit(EngineRequest request) {
  const auto position = std::find_if(waiting_.begin(), waiting_.end(),
                                     [&](const EngineRequest& other) {
                                       return other.priority > request.priority;
                                     });
  waiting_.insert(position, std::move(request));
  if (is_stepping_)
    return;
  is_stepping_ = true;
  Step();
}

void EmulatedEngine::Admit() {
  while (!waiting_.empty() && running_.size() < parameters_.slots) {
    auto active = std::make_unique<ActiveRequest>();
    active->request = std::move(waiting_.front());
    waiting_.pop_front();
    const uint64_t total = TotalTokens(active->request.prompt);
    const uint64_t cached = cache_.CachedTokens(active->request.prompt);
    const uint64_t reusable = std::max(cached, active->request.copyable_tokens);
    if (reusable > cached) {
      tokens_copied_ += reusable - cached;
      active->copy_time = parameters_.copy_setup +
                          Milliseconds(static_cast<double>(reusable - cached) /
                                       parameters_.copy_per_ms);
    }
    tokens_reused_ += reusable;
    tokens_prefilled_ += total - reusable;
    // A fully cached prompt still needs one token of prefill.
    active->remaining_prefill_tokens = std::max<uint64_t>(total - reusable, 1);
    running_.push_back(std::move(active));
  }
}

void EmulatedEngine::Step() {
  Admit();
  if (running_.empty()) {
    is_stepping_ = false;
    return;
  }
  Duration time{};
  const uint64_t prefilled = PrefillChunk(&time);
  time += StepTime(prefilled);
  clock_->Schedule(Duration(static_cast<Duration::rep>(
                       static_cast<double>(time.count()) * slowness_)),
                   [this] {
                     GenerateTokens();
                     Step();
                   });
}

Duration EmulatedEngine::StepTime(uint64_t prefill_tokens) const {
  return parameters_.step +
         parameters_.step_per_request * static_cast<int64_t>(running_.size()) +
         Milliseconds(static_cast<double>(prefill_tokens) /
                      parameters_.prefill_per_ms);
}

uint64_t EmulatedEngine::PrefillChunk(Duration* copy_time) {
  for (const auto& active : running_) {
    if (active->remaining_prefill_tokens == 0)
      continue;
    const uint64_t tokens = std::min<uint64_t>(active->remaining_prefill_tokens,
                                               parameters_.prefill_chunk);
    active->remaining_prefill_tokens -= tokens;
    *copy_time = std::exchange(active->copy_time, Duration::zero());
    return tokens;
  }
  return 0;
}

void EmulatedEngine::GenerateTokens() {
  std::vector<std::unique_ptr<ActiveRequest>> ended;
  for (auto& active : running_) {
    if (active->remaining_prefill_tokens > 0)
      continue;
    if (++active->generated_tokens == 1) {
      cache_.Insert(active->request.prompt);
      active->request.on_first_token();
    }
    if (active->generated_tokens >= active->request.output_tokens)
      ended.push_back(std::move(active));
  }
  std::erase(running_, nullptr);
  for (const auto& active : ended)
    active->request.on_end();
}

}  // namespace teaselthread::emulator
