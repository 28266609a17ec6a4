#ifndef TEASELTHREAD_GATEWAY_HEARTBEAT_CONVERSION_H_
#define TEASELTHREAD_GATEWAY_HEARTBEAT_CONVERSION_H_

#include <optional>
#include <vector>

#include "libteaselthread/endpoints/crash_evidence.h"
#include "libteaselthread/peers/store_changes.h"
#include "libteaselthread/rate_limits/rate_limit_update.h"
#include "libteaselthread/rollouts/rollout_evidence.h"
#include "libteaselthread/streams/stream_origins.h"

// Conversion of parts of heartbeats to and from their wire format.
namespace teaselthread {

namespace wire {
class ChangePart;
class GatewayHeartbeat;
class ListStatus;
class PartEvidence;
class RateLimitReport;
class RolloutReport;
class StoreChange;
class StreamReport;
}  // namespace wire

// Rounds up.
uint32_t ToMilliseconds(Duration time);

void EncodeListStatus(const ListStatus& status, wire::ListStatus* message);
ListStatus DecodeListStatus(const wire::ListStatus& message);

void EncodeChange(const StoreChange& change, wire::StoreChange* message);
// Empty if the message holds no valid change.
std::optional<StoreChange> DecodeChange(RelayedList list,
                                        const wire::StoreChange& message);

// Empty if a change is not valid.
std::optional<ChangeBatchPart> DecodeChangePart(
    RelayedList list,
    const wire::ChangePart& message);

void EncodeReport(const RolloutReport& report, wire::RolloutReport* message);
// The valid reports of a heartbeat.
std::vector<RolloutReport> DecodeReports(const wire::GatewayHeartbeat& message);

void EncodeRateLimits(const std::vector<RateLimitUpdate>& updates,
                      wire::RateLimitReport* message);
// Empty if the message is not valid.
std::optional<std::vector<RateLimitUpdate>> DecodeRateLimits(
    const wire::RateLimitReport& message);

void EncodeEvidence(const CrashEvidence& evidence, wire::PartEvidence* message);
CrashEvidence DecodeEvidence(const wire::PartEvidence& message);

// Splits streams of one service into reports that each fit into a heartbeat.
std::vector<wire::StreamReport> EncodeStreams(
    const std::vector<StreamOrigin>& streams);
// Empty if the message is not valid.
std::optional<std::vector<StreamOrigin>> DecodeStreams(
    const wire::StreamReport& message);

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_HEARTBEAT_CONVERSION_H_
