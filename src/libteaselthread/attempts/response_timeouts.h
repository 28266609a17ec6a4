#ifndef TEASELTHREAD_ATTEMPTS_RESPONSE_TIMEOUTS_H_
#define TEASELTHREAD_ATTEMPTS_RESPONSE_TIMEOUTS_H_

#include <compare>
#include <cstdint>

#include "libteaselthread/routes/route.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How long an endpoint may send nothing during one attempt.
struct ResponseTimeouts {
  // Until the first byte of the response or its first event. The attempt ends
  // when this time has passed.
  Duration first{};
  // Between two pieces of the response. The attempt ends when this time has
  // passed.
  Duration between{};
  // Until the lack of a response counts as a failure in the endpoint's health.
  // The attempt itself continues if the request is not repeatable.
  Duration health_timeout{};

  friend auto operator<=>(const ResponseTimeouts&,
                          const ResponseTimeouts&) = default;
};

struct ResponseTimeoutQuery {
  const Route* route = nullptr;
  uint64_t prompt_tokens = 0;  // that the endpoint may have to prefill
  double load_share = 0;       // requests at the endpoint divided by its slots
  double slowness = 1;         // multiple of the usual time that work takes
  Duration time_left{};        // until the request's deadline
};

// Chooses the timeouts so that a retry after the first-byte timeout can still
// meet the route's objective, and a busy endpoint is not mistaken for one that
// does not respond.
//
// Load pattern: engines that become unreachable or hang under traffic, so that
// each request sent to them would wait until its deadline; and long prompts,
// for which a healthy engine sends nothing until prefill is done.
ResponseTimeouts ChooseResponseTimeouts(const ResponseTimeoutQuery& query);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_RESPONSE_TIMEOUTS_H_
