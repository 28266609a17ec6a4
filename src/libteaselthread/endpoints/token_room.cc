#include "libteaselthread/endpoints/token_room.h"

#include <algorithm>
#include <cmath>

namespace teaselthread {
namespace {

// The output of a request that says nothing about it.
constexpr uint32_t kDefaultOutputTokens = 256;
// The requests whose shared parts are compared with each other.
constexpr size_t kRecentParts = 64;
constexpr size_t kMinRecentParts = 8;
// Stands for no equal pairs among the recent parts.
constexpr double kMinEqualPairs = 0.1;
// Requests with one part are at its primary engine and, while that one is busy,
// at the next in rank.
constexpr double kEnginesPerPart = 3;
// Over this time the mean of requests in progress is taken: some responses.
constexpr Duration kMixTimeConstant = std::chrono::seconds(10);
// Older counts of requests are not used.
constexpr Duration kSendsKept = std::chrono::seconds(4);

}  // namespace

uint64_t RequestTokens::SharedTotal() const {
  uint64_t total = 0;
  for (const PromptPart& part : shared)
    total += part.tokens;
  return total;
}

RequestTokens EstimateTokens(const std::vector<PromptPart>& prompt,
                             const std::optional<TokenUsage>& usage,
                             std::optional<uint32_t> output_hint) {
  RequestTokens tokens;
  if (prompt.empty())
    return tokens;
  tokens.shared.assign(prompt.begin(), prompt.end() - 1);
  const uint64_t shared = tokens.SharedTotal();
  tokens.own = prompt.back().tokens;
  if (usage && usage->prompt > shared)
    tokens.own = std::max(tokens.own, usage->prompt - shared);
  uint32_t output = kDefaultOutputTokens;
  if (usage)
    output = usage->max_output;
  if (output_hint)
    output = usage ? std::min(*output_hint, output) : *output_hint;
  tokens.own += output;
  return tokens;
}

void TokenMix::Advance(Timestamp now) {
  const double elapsed =
      std::chrono::duration<double>(now - advanced_at_).count();
  advanced_at_ = now;
  const double kept = std::exp(
      -elapsed / std::chrono::duration<double>(kMixTimeConstant).count());
  const auto advance = [&](double Sums::*sum) {
    integrals_.*sum = integrals_.*sum * kept + running_.*sum * elapsed;
  };
  advance(&Sums::requests);
  advance(&Sums::sharing);
  advance(&Sums::own);
  advance(&Sums::shared);
}

void TokenMix::OnSend(const RequestTokens& tokens, Timestamp now) {
  Advance(now);
  running_.requests += 1;
  running_.sharing += tokens.shared.empty() ? 0 : 1;
  running_.own += static_cast<double>(tokens.own);
  running_.shared += static_cast<double>(tokens.SharedTotal());
  if (tokens.shared.empty())
    return;
  CountPart(std::max_element(tokens.shared.begin(), tokens.shared.end(),
                             [](const PromptPart& a, const PromptPart& b) {
                               return a.tokens < b.tokens;
                             })
                ->id);
}

void TokenMix::OnEnd(const RequestTokens& tokens, Timestamp now) {
  Advance(now);
  running_.requests -= 1;
  running_.sharing -= tokens.shared.empty() ? 0 : 1;
  running_.own -= static_cast<double>(tokens.own);
  running_.shared -= static_cast<double>(tokens.SharedTotal());
}

void TokenMix::CountPart(const std::string& part) {
  if (recent_parts_.size() == kRecentParts) {
    const auto oldest = part_counts_.find(recent_parts_.front());
    equal_pairs_ -= --oldest->second;
    if (oldest->second == 0)
      part_counts_.erase(oldest);
    recent_parts_.pop_front();
  }
  recent_parts_.push_back(part);
  equal_pairs_ += part_counts_[part]++;
}

double TokenMix::mean_own() const {
  return Mean().requests > 0 ? Mean().own / Mean().requests : 0;
}

double TokenMix::PartsPerEngine(size_t engines) const {
  const auto count = static_cast<double>(recent_parts_.size());
  const double pairs = count * (count - 1) / 2;
  const double parts =
      pairs / std::max(static_cast<double>(equal_pairs_), kMinEqualPairs);
  const double share = kEnginesPerPart / static_cast<double>(engines);
  return std::max(1.0, parts * std::min(1.0, share));
}

double TokenMix::HoldsPart(double requests, size_t engines) const {
  if (Mean().requests <= 0)
    return 0;
  const double sharing = requests * Mean().sharing / Mean().requests;
  return 1 - std::exp(-sharing / PartsPerEngine(engines));
}

double TokenMix::SharedTokens(double requests, size_t engines) const {
  if (Mean().sharing <= 0)
    return 0;
  const double tokens = Mean().shared / Mean().sharing;
  const double sharing = requests * Mean().sharing / Mean().requests;
  // Too few requests to tell whether their parts are the same ones.
  if (recent_parts_.size() < kMinRecentParts)
    return tokens * sharing;
  return tokens * PartsPerEngine(engines) * HoldsPart(requests, engines);
}

void TokenRoom::OnSend(const RequestTokens& tokens, Timestamp now) {
  ++requests_;
  own_ += tokens.own;
  for (const PromptPart& part : tokens.shared) {
    Part& known =
        parts_.try_emplace(part.id, Part{part.tokens, 0}).first->second;
    if (known.requests++ == 0)
      shared_ += known.tokens;
  }
  while (!sends_.empty() && now - sends_.front() > kSendsKept)
    sends_.pop_front();
  sends_.push_back(now);
}

void TokenRoom::OnEnd(const RequestTokens& tokens) {
  --requests_;
  own_ -= tokens.own;
  for (const PromptPart& part : tokens.shared) {
    const auto known = parts_.find(part.id);
    if (--known->second.requests > 0)
      continue;
    shared_ -= known->second.tokens;
    parts_.erase(known);
  }
}

double TokenRoom::Held(double remote_requests,
                       const TokenMix& mix,
                       size_t engines) const {
  const double shared =
      std::max(static_cast<double>(shared_),
               mix.SharedTokens(remote_requests + requests_, engines));
  return static_cast<double>(own_) + remote_requests * mix.mean_own() +
         (remote_requests > 0 ? shared : static_cast<double>(shared_));
}

double TokenRoom::Added(const RequestTokens& tokens,
                        double remote_requests,
                        const TokenMix& mix,
                        size_t engines) const {
  const double missing = 1 - mix.HoldsPart(remote_requests, engines);
  auto added = static_cast<double>(tokens.own);
  for (const PromptPart& part : tokens.shared)
    added += parts_.contains(part.id) ? 0 : part.tokens * missing;
  return added;
}

uint32_t TokenRoom::SendsSince(Timestamp time) const {
  const auto first = std::upper_bound(sends_.begin(), sends_.end(), time);
  return static_cast<uint32_t>(sends_.end() - first);
}

}  // namespace teaselthread
