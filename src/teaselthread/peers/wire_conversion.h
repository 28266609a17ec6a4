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
// Nothing if the address is not one.
std::optional<Endpoint> FromWire(const wire::EndpointEntry& entry);

// What a node passes on of a request; the caller fills in the stage.
wire::ForwardRequest ToWire(const RequestContext& context, Timestamp now);
CallerRequest FromWire(const wire::ForwardRequest& request);

wire::ForwardFrame ToWire(const RefusedNotRun& refusal);
wire::ForwardFrame ToWire(const MayHaveRun& unknown);
// A peer of another version may send a reason that is unknown here.
RefusedNotRun FromWire(const wire::NotRun& refusal);
UnknownReason FromWire(const wire::MaybeRun& unknown);

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_WIRE_CONVERSION_H_
