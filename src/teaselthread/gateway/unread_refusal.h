#ifndef TEASELTHREAD_GATEWAY_UNREAD_REFUSAL_H_
#define TEASELTHREAD_GATEWAY_UNREAD_REFUSAL_H_

#include "libteaselthread/requests/reasons.h"
#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

// The response to a request that is not read to its end, with a Retry-After if
// a repeat may succeed. Counts and logs the refusal.
http::response<http::string_body> RefuseUnreadRequest(GatewayState* state,
                                                      RefusalReason reason);

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_UNREAD_REFUSAL_H_
