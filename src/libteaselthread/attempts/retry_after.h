#ifndef TEASELTHREAD_ATTEMPTS_RETRY_AFTER_H_
#define TEASELTHREAD_ATTEMPTS_RETRY_AFTER_H_

#include "libteaselthread/requests/reasons.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// When a refused caller is to come back: soon where another node can serve it
// at once, later where endpoints have to recover. `spread` is a random number
// from 0 to 1 that keeps callers who were refused together from returning
// together.
Duration RetryAfterFor(RefusalReason reason, double spread);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_RETRY_AFTER_H_
