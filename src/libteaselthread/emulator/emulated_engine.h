#ifndef TEASELTHREAD_EMULATOR_EMULATED_ENGINE_H_
#define TEASELTHREAD_EMULATOR_EMULATED_ENGINE_H_

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "libteaselthread/emulator/prefix_cache.h"
#include "libteaselthread/emulator/virtual_clock.h"

namespace teaselthread::emulator {

// How fast an engine works.
struct EngineSpeed {
  uint32_t slots = 24;
  Duration step{};                // of the whole batch, without the terms below
  Duration step_per_request{};    // for each that runs
  double prefill_per_ms = 50;     // tokens
  uint32_t prefill_chunk = 4096;  // tokens read between two steps
  uint64_t kv_tokens = 400'000;
  Duration copy_setup{};     // of a copy from another engine's cache
  double copy_per_ms = 800;  // tokens

  friend auto operator<=>(const EngineSpeed&, const EngineSpeed&) = default;
};

// A request as engines see it.
struct EngineRequest {
  std::vector<PromptPart> prompt;
  uint32_t output_tokens = 1;
  int priority = 0;  // 0 is the most urgent
  // Tokens at the head of the prompt that another engine holds.
  uint64_t copyable_tokens = 0;
  std::function<void()> on_first_token;
  std::function<void()> on_end;
};

// A model engine in virtual time: continuous batching in steps of one token
// for each running request, with one prompt read in chunks between them.
// Waiting requests are admitted by priority, then by arrival.
class EmulatedEngine {
 public:
  EmulatedEngine(VirtualClock* clock, EngineSpeed speed);
  EmulatedEngine(const EmulatedEngine&) = delete;
  EmulatedEngine& operator=(const EmulatedEngine&) = delete;

  void Submit(EngineRequest request);
  // Multiplies the time of its steps.
  void set_slowness(double slowness) { slowness_ = slowness; }
  void ClearCache() { cache_.Clear(); }

  uint32_t load() const {
    return static_cast<uint32_t>(running_.size() + waiting_.size());
  }
  uint32_t waiting() const { return static_cast<uint32_t>(waiting_.size()); }
  const PrefixCache& cache() const { return cache_; }
  // Prompt tokens that were read, and those that the cache or a copy saved.
  uint64_t tokens_read() const { return tokens_read_; }
  uint64_t tokens_reused() const { return tokens_reused_; }
  uint64_t tokens_copied() const { return tokens_copied_; }

 private:
  struct Run {
    EngineRequest request;
    uint64_t unread_tokens = 0;
    uint32_t made_tokens = 0;
    Duration copy_time{};
  };

  void Admit();
  void Step();
  Duration StepTime(uint64_t read_tokens) const;
  // Reads a chunk of the first prompt that is not read; gives its size.
  uint64_t ReadChunk(Duration* copy_time);
  void MakeTokens();

  VirtualClock* clock_;
  EngineSpeed speed_;
  double slowness_ = 1;
  PrefixCache cache_;
  std::deque<EngineRequest> waiting_;
  std::vector<std::unique_ptr<Run>> running_;
  bool is_stepping_ = false;
  uint64_t tokens_read_ = 0;
  uint64_t tokens_reused_ = 0;
  uint64_t tokens_copied_ = 0;
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_EMULATED_ENGINE_H_
