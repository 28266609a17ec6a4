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

EmulatedEngine::EmulatedEngine(VirtualClock* clock, EngineSpeed speed)
    : clock_(clock), speed_(speed), cache_(speed.kv_tokens) {}

void EmulatedEngine::Submit(EngineRequest request) {
  const auto place = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](const EngineRequest& other) {
                                    return other.priority > request.priority;
                                  });
  waiting_.insert(place, std::move(request));
  if (is_stepping_)
    return;
  is_stepping_ = true;
  Step();
}

void EmulatedEngine::Admit() {
  while (!waiting_.empty() && running_.size() < speed_.slots) {
    auto run = std::make_unique<Run>();
    run->request = std::move(waiting_.front());
    waiting_.pop_front();
    const uint64_t total = TotalTokens(run->request.prompt);
    const uint64_t cached = cache_.CachedTokens(run->request.prompt);
    const uint64_t held = std::max(cached, run->request.copyable_tokens);
    if (held > cached) {
      tokens_copied_ += held - cached;
      run->copy_time =
          speed_.copy_setup +
          Milliseconds(static_cast<double>(held - cached) / speed_.copy_per_ms);
    }
    tokens_reused_ += held;
    tokens_read_ += total - held;
    // A prompt that is held in full still takes one token to read.
    run->unread_tokens = std::max<uint64_t>(total - held, 1);
    running_.push_back(std::move(run));
  }
}

void EmulatedEngine::Step() {
  Admit();
  if (running_.empty()) {
    is_stepping_ = false;
    return;
  }
  Duration time{};
  const uint64_t read = ReadChunk(&time);
  time += StepTime(read);
  clock_->Schedule(Duration(static_cast<Duration::rep>(
                       static_cast<double>(time.count()) * slowness_)),
                   [this] {
                     MakeTokens();
                     Step();
                   });
}

Duration EmulatedEngine::StepTime(uint64_t read_tokens) const {
  return speed_.step +
         speed_.step_per_request * static_cast<int64_t>(running_.size()) +
         Milliseconds(static_cast<double>(read_tokens) / speed_.prefill_per_ms);
}

uint64_t EmulatedEngine::ReadChunk(Duration* copy_time) {
  for (const auto& run : running_) {
    if (run->unread_tokens == 0)
      continue;
    const uint64_t tokens =
        std::min<uint64_t>(run->unread_tokens, speed_.prefill_chunk);
    run->unread_tokens -= tokens;
    *copy_time = std::exchange(run->copy_time, Duration::zero());
    return tokens;
  }
  return 0;
}

void EmulatedEngine::MakeTokens() {
  std::vector<std::unique_ptr<Run>> ended;
  for (auto& run : running_) {
    if (run->unread_tokens > 0)
      continue;
    if (++run->made_tokens == 1) {
      cache_.Insert(run->request.prompt);
      run->request.on_first_token();
    }
    if (run->made_tokens >= run->request.output_tokens)
      ended.push_back(std::move(run));
  }
  std::erase(running_, nullptr);
  for (const auto& run : ended)
    run->request.on_end();
}

}  // namespace teaselthread::emulator
