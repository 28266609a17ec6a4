#ifndef TEASELTHREAD_ENDPOINTS_TOKEN_LIMITS_H_
#define TEASELTHREAD_ENDPOINTS_TOKEN_LIMITS_H_

#include <string>

#include "libteaselthread/endpoints/endpoint_state.h"

namespace teaselthread {

// What the limits on the token memory of a service's engines depend on.
struct TokenLimitsQuery {
  uint64_t capacity = 0;  // of one engine, in tokens; 0 if it is not known
  int priority = 0;       // of the request; 0 is the most urgent
  RequestTokens tokens;   // of the request
  const TokenMix* mix = nullptr;  // of the service
  double mean_load = 0;           // requests per engine, in the whole fleet
  size_t engines = 1;             // of the service
  std::string node;               // this one
  size_t nodes = 1;               // that may be alive
};

// Whether engines have memory for one more request, so that the requests of all
// nodes stay within it.
//
// Counts of an engine's requests are up to some seconds old. Until the next
// one, all nodes together use at most half of the room that the latest left:
// each node has a share of it, in requests. If there are fewer requests than
// nodes, a node has a share of one for some seconds with that probability.
// While the memory of the engine and the mean of all are far from full, there
// is no limit.
//
// Load pattern: as TokenRoom. Less urgent requests leave more of the memory
// free, for urgent ones that come while it is full.
class TokenLimits {
 public:
  explicit TokenLimits(TokenLimitsQuery query);

  // Whether the service's engines are full on the average.
  bool is_full() const { return is_full_; }
  // Whether the engine has room for the request by this node's share.
  bool HasRoom(const EndpointState& engine, Timestamp now) const;
  // Whether the engine can hold the request at all, as far as is known.
  bool Fits(const EndpointState& engine, Timestamp now) const;

 private:
  struct Estimate {
    double held = 0;   // by all requests at the engine
    double added = 0;  // by this one
  };

  bool is_limited() const { return query_.capacity > 0 && query_.mix; }
  Estimate EstimateFor(const EndpointState& engine, Timestamp now) const;
  // The requests that this node may send until the next count, if all nodes
  // together may send `requests`.
  uint32_t ShareOf(double requests,
                   const EndpointState& engine,
                   Timestamp now) const;

  TokenLimitsQuery query_;
  // The memory of the service's engines, on the average.
  bool is_short_ = false;
  bool is_full_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_TOKEN_LIMITS_H_
