#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_CONTACT_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_CONTACT_H_

#include <compare>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// When this node's connections to one incarnation of an endpoint have last
// shown whether it is running. Zero: not yet.
struct EndpointContact {
  Timestamp bytes_at{};  // bytes of a response were received
  // Start of the latest attempt to connect that was accepted or refused.
  // Attempts that time out are not recorded.
  Timestamp accepted_at{};
  Timestamp refused_at{};
  Timestamp misdirected_at{};  // another instance replied at the address (421)

  // An attempt to connect that began at `started_at` has ended. If it was
  // neither accepted nor refused, the endpoint has not responded.
  void OnConnectEnded(bool accepted, bool refused, Timestamp started_at) {
    if (accepted)
      accepted_at = started_at;
    else if (refused)
      refused_at = started_at;
  }

  friend auto operator<=>(const EndpointContact&,
                          const EndpointContact&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_CONTACT_H_
