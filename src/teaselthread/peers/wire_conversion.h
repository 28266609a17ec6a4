#ifndef TEASELTHREAD_PEERS_WIRE_CONVERSION_H_
#define TEASELTHREAD_PEERS_WIRE_CONVERSION_H_

#include <optional>

#include "libteaselthread/load_table.h"
#include "libteaselthread/membership/member.h"
#include "libteaselthread/requests/outcome.h"
#include "libteaselthread/requests/request_context.h"
#include "node.pb.h"

namespace teaselthread {

wire::MemberUpdate ToWire(const Member& member);
Member FromWire(const wire::MemberUpdate& update);

wire::EndpointLoad ToWire(const EndpointLoad& load);
EndpointLoad FromWire(const wire::EndpointLoad& load);

wire::EndpointEntry ToWire(const Endpoint& endpoint);
// Returns nullopt if the address is not valid or the endpoint serves nothing.
std::optional<Endpoint> FromWire(const wire::EndpointEntry& entry);

// Converts a request for forwarding. The caller of this function sets the
// stage.
wire::ForwardRequest ToWire(const RequestContext& context, Timestamp now);
CallerRequest FromWire(const wire::ForwardRequest& request);

wire::ForwardFrame ToWire(const RefusedNotRun& refusal);
wire::ForwardFrame ToWire(const MayHaveRun& unknown);
// A peer of another version may send a reason that is unknown here; it is
// mapped to kNotReady or kOwnerLost.
RefusedNotRun FromWire(const wire::NotRun& refusal);
UnknownReason FromWire(const wire::MaybeRun& unknown);

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_WIRE_CONVERSION_H_
