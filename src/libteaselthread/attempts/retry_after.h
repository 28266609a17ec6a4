#ifndef TEASELTHREAD_ATTEMPTS_RETRY_AFTER_H_
#define TEASELTHREAD_ATTEMPTS_RETRY_AFTER_H_

#include <optional>
#include <string>

#include "libteaselthread/requests/reasons.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How long a refused caller should wait before it retries: briefly if another
// node can serve it immediately, longer if endpoints or the store have to
// recover, zero if a retry cannot help. `jitter` is a random number from 0 to 1
// that keeps callers that were refused at the same time from retrying at the
// same time. If `time_left`, until the caller stops waiting, is known, enough
// of it remains for the retry. `pause` is how long all endpoints still want no
// requests, if that is why the caller was refused.
Duration RetryAfterFor(RefusalReason reason,
                       double jitter,
                       std::optional<Duration> time_left = std::nullopt,
                       Duration pause = Duration::zero());

// The time in seconds with two decimals, as in the header field Retry-After.
std::string RetryAfterText(Duration time);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_RETRY_AFTER_H_
