#ifndef TEASELTHREAD_EMULATOR_EMULATED_ENGINE_H_
#define TEASELTHREAD_EMULATOR_EMULATED_ENGINE_H_

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "libteaselthread/emulator/prefix_cache.h"
#include "libteaselthread/emulator/virtual_clock.h"

namespace teaselthread::emulator {

// Capacity and timing of an emulated engine.
struct EngineParameters {
  uint32_t slots = 24;
  Duration step{};                // base time of one batch step
  Duration step_per_request{};    // added for each running request
  double prefill_per_ms = 50;     // prompt tokens per millisecond
  uint32_t prefill_chunk = 4096;  // max prompt tokens prefilled per step
  uint64_t kv_tokens = 400'000;   // KV cache capacity
  Duration copy_setup{};          // fixed cost of a KV copy from another engine
  double copy_per_ms = 800;       // tokens per millisecond

  friend auto operator<=>(const EngineParameters&,
                          const EngineParameters&) = default;
};

// A request as submitted to an engine.
struct EngineRequest {
  std::vector<PromptPart> prompt;
  uint32_t output_tokens = 1;
  int priority = 0;  // 0 is the most urgent
  // Tokens of the prompt's prefix that can be copied from another engine's
  // cache.
  uint64_t copyable_tokens = 0;
  std::function<void()> on_first_token;
  std::function<void()> on_end;
};

// Simulates a model engine in virtual time with continuous batching: each step
// generates one token per running request and prefills one chunk of one prompt.
// Waiting requests are admitted by priority, then by arrival.
class EmulatedEngine {
 public:
  EmulatedEngine(VirtualClock* clock, EngineParameters parameters);
  EmulatedEngine(const EmulatedEngine&) = delete;
  EmulatedEngine& operator=(const EmulatedEngine&) = delete;

  void Submit(EngineRequest request);
  // Factor that multiplies the duration of each step.
  void set_slowness(double slowness) { slowness_ = slowness; }
  void ClearCache() { cache_.Clear(); }

  uint32_t load() const {
    return static_cast<uint32_t>(running_.size() + waiting_.size());
  }
  uint32_t waiting() const { return static_cast<uint32_t>(waiting_.size()); }
  const PrefixCache& cache() const { return cache_; }
  // Prompt tokens that were prefilled, and those that came from the cache or
  // from a copy instead. Copied tokens also count as reused.
  uint64_t tokens_prefilled() const { return tokens_prefilled_; }
  uint64_t tokens_reused() const { return tokens_reused_; }
  uint64_t tokens_copied() const { return tokens_copied_; }

 private:
  struct ActiveRequest {
    EngineRequest request;
    uint64_t remaining_prefill_tokens = 0;
    uint32_t generated_tokens = 0;
    Duration copy_time{};
  };

  void Admit();
  void Step();
  Duration StepTime(uint64_t prefill_tokens) const;
  // Prefills a chunk of the first prompt that is not fully prefilled; returns
  // the number of tokens, or 0 if there is no such prompt.
  uint64_t PrefillChunk(Duration* copy_time);
  void GenerateTokens();

  VirtualClock* clock_;
  EngineParameters parameters_;
  double slowness_ = 1;
  PrefixCache cache_;
  std::deque<EngineRequest> waiting_;
  std::vector<std::unique_ptr<ActiveRequest>> running_;
  bool is_stepping_ = false;
  uint64_t tokens_prefilled_ = 0;
  uint64_t tokens_reused_ = 0;
  uint64_t tokens_copied_ = 0;
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_EMULATED_ENGINE_H_
