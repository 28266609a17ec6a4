#include "libteaselthread/endpoints/token_limits.h"

#include <algorithm>
#include <cmath>

#include "libteaselthread/endpoints/random_sequence.h"
#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// Shares apply to an engine of which more than this share of the memory is
// used. Below it, the load bound limits the requests until the next count.
constexpr double kShortShare = 0.5;
// Shares apply to all engines if the mean one uses more than this: others are
// full, so that all nodes would turn to an engine whose count is low.
constexpr double kShortMeanShare = 0.4;
// The mean of engines that are as full as the counts' age allows them to be.
constexpr double kFullMeanShare = 0.55;
// The share of the memory that requests may use, by priority; the last one is
// that of all less urgent ones.
constexpr double kUsableShares[] = {0.9, 0.8, 0.7};
// Requests of other nodes may arrive between two counts, and after a count that
// this node has not received yet.
constexpr double kShareOfRoom = 0.5;
// How long a node keeps a share of one request or none: about as long as a
// count is old in a large fleet. With shorter turns, several nodes would use
// the same share before a count includes their requests.
constexpr Duration kTurn = std::chrono::seconds(2);

double UsableShare(int priority) {
  const int last = static_cast<int>(std::size(kUsableShares)) - 1;
  return kUsableShares[std::clamp(priority, 0, last)];
}

}  // namespace

TokenLimits::TokenLimits(TokenLimitsQuery query) : query_(std::move(query)) {
  if (!is_limited())
    return;
  const double mean_held =
      query_.mean_load * query_.mix->mean_own() +
      query_.mix->SharedTokens(query_.mean_load, query_.engines);
  const auto capacity = static_cast<double>(query_.capacity);
  is_short_ = mean_held > kShortMeanShare * capacity;
  is_full_ = mean_held > kFullMeanShare * capacity;
}

bool TokenLimits::HasRoom(const EndpointState& engine, Timestamp now) const {
  if (!is_limited())
    return true;
  const auto capacity = static_cast<double>(query_.capacity);
  const Estimate estimate = EstimateFor(engine, now);
  const double after = estimate.held + estimate.added;
  if (!is_short_ && after <= kShortShare * capacity)
    return true;
  const double usable = UsableShare(query_.priority) * capacity;
  if (after > usable)
    return false;
  const uint32_t sends = engine.SendsSinceCount();
  const double room = usable - estimate.held + sends * estimate.added;
  const double requests =
      std::floor(kShareOfRoom * room / std::max(1.0, estimate.added));
  return sends + 1 <= ShareOf(requests, engine, now);
}

bool TokenLimits::Fits(const EndpointState& engine, Timestamp now) const {
  if (!is_limited())
    return true;
  const Estimate estimate = EstimateFor(engine, now);
  return estimate.held + estimate.added <=
         kUsableShares[0] * static_cast<double>(query_.capacity);
}

TokenLimits::Estimate TokenLimits::EstimateFor(const EndpointState& engine,
                                               Timestamp now) const {
  const double remote = engine.RemoteRequests(now).value_or(
      std::max(0.0, query_.mean_load - engine.local_requests()));
  return {engine.tokens().Held(remote, *query_.mix, query_.engines),
          engine.tokens().Added(query_.tokens, remote, *query_.mix,
                                query_.engines)};
}

uint32_t TokenLimits::ShareOf(double requests,
                              const EndpointState& engine,
                              Timestamp now) const {
  const size_t nodes = std::max<size_t>(1, query_.nodes);
  const auto whole = static_cast<size_t>(std::max(0.0, requests));
  if (whole >= nodes)
    return static_cast<uint32_t>(whole / nodes);
  const auto turn = static_cast<uint64_t>(now.time_since_epoch() / kTurn);
  uint64_t state =
      (uint64_t{ShortHash(engine.record().id)} << 32 | ShortHash(query_.node)) +
      turn;
  NextRandom(&state);
  return NextRandom(&state) % nodes < whole ? 1 : 0;
}

}  // namespace teaselthread
