#ifndef TEASELTHREAD_ENDPOINTS_TOKEN_ROOM_H_
#define TEASELTHREAD_ENDPOINTS_TOKEN_ROOM_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/prompt_part.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What a caller says about the tokens of its request.
struct TokenUsage {
  uint32_t prompt = 0;
  uint32_t max_output = 0;

  friend auto operator<=>(const TokenUsage&, const TokenUsage&) = default;
};

// The tokens of an engine's memory that a request holds until it ends.
struct RequestTokens {
  uint64_t own = 0;  // the prompt that is not shared, and the output
  std::vector<PromptPart> shared;  // held once for all requests with the part

  uint64_t SharedTotal() const;

  friend auto operator<=>(const RequestTokens&, const RequestTokens&) = default;
};

// Estimates the tokens from the prompt and from what the caller says:
// `output_hint` is the expected length of the output.
RequestTokens EstimateTokens(const std::vector<PromptPart>& prompt,
                             const std::optional<TokenUsage>& usage,
                             std::optional<uint32_t> output_hint);

// The mean tokens of a service's requests in progress, by this node's own
// requests. They stand for those of other nodes, of which only counts are
// known.
class TokenMix {
 public:
  void OnSend(const RequestTokens& tokens, Timestamp now);
  // Must follow an OnSend() call with the same tokens.
  void OnEnd(const RequestTokens& tokens, Timestamp now);
  // The tokens of one request that are not shared.
  double mean_own() const;
  // The tokens of the different shared parts that `requests` requests at one of
  // `engines` engines hold.
  double SharedTokens(double requests, size_t engines) const;
  // The probability that one of them has a given shared part.
  double HoldsPart(double requests, size_t engines) const;

 private:
  // Sums over the requests in progress.
  struct Sums {
    double requests = 0;
    double sharing = 0;  // those with a shared part
    double own = 0;
    double shared = 0;
  };

  const Sums& Mean() const {
    return integrals_.requests > 0 ? integrals_ : running_;
  }
  // The number of equally frequent parts among which requests at one engine
  // would repeat as often as they do.
  double PartsPerEngine(size_t engines) const;
  // Remembers the shared part for PartsPerEngine.
  void CountPart(const std::string& part);
  // Adds the time since the last change to the integrals.
  void Advance(Timestamp now);

  Sums running_;
  Sums integrals_;  // of running_ over time; recent times weigh more
  Timestamp advanced_at_{};
  std::deque<std::string> recent_parts_;
  std::map<std::string, uint32_t> part_counts_;  // of recent_parts_
  uint64_t equal_pairs_ = 0;                     // among recent_parts_
};

// The tokens that this node's requests hold at one engine, and an estimate for
// those of other nodes.
//
// Load pattern: long prompts that fill an engine's memory before its slots,
// sent by so many nodes that each knows only few of the engine's requests.
class TokenRoom {
 public:
  void OnSend(const RequestTokens& tokens, Timestamp now);
  // Must follow an OnSend() call with the same tokens.
  void OnEnd(const RequestTokens& tokens);

  // The tokens that all requests at the engine hold, if other nodes have
  // `remote_requests` there. A part that several requests share counts once.
  // `engines` is the number of the service's engines.
  double Held(double remote_requests,
              const TokenMix& mix,
              size_t engines) const;
  // By how much one more request would raise Held().
  double Added(const RequestTokens& tokens,
               double remote_requests,
               const TokenMix& mix,
               size_t engines) const;
  // This node's requests that were sent after `time`, for some seconds back.
  uint32_t SendsSince(Timestamp time) const;

 private:
  struct Part {
    uint32_t tokens = 0;
    uint32_t requests = 0;
  };

  std::map<std::string, Part> parts_;  // of requests in progress
  std::deque<Timestamp> sends_;
  uint32_t requests_ = 0;  // in progress
  uint64_t own_ = 0;       // their tokens that are not shared
  uint64_t shared_ = 0;    // of parts_
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_TOKEN_ROOM_H_
