#include "teaselthread/gateway/heartbeat_conversion.h"

#include <algorithm>
#include <cmath>

#include "heartbeat.pb.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAgeUnit = milliseconds(10);
constexpr float kNotLimited = -1;
// Numbers of one side of a route in a report.
constexpr int kSideNumbers = 4;
// Routes of a valid report: those with counters of their own and the others.
constexpr int kMaxReportRoutes = RolloutCounters::kMaxRoutes + 1;
// Of one report: a stream takes up to 13 bytes, and the rest of a heartbeat and
// the versions need room too.
constexpr int kMaxReportStreams = 64;
constexpr size_t kMaxReportVersionBytes = 250;

void EncodeOrder(const RolloutOrder& order, wire::RolloutOrder* message) {
  message->set_service(order.service);
  message->set_target(order.target);
  message->set_duration_ms(ToMilliseconds(order.duration));
  message->set_revision(order.revision);
  if (!order.status)
    return;
  message->set_state(1 + static_cast<uint32_t>(order.status->state));
  message->set_state_target(order.status->target);
}

std::optional<RolloutOrder> DecodeOrder(const std::string& name,
                                        const wire::RolloutOrder& message) {
  if (message.state() > kRolloutStateCount)
    return std::nullopt;
  RolloutOrder order{name,
                     message.service(),
                     message.target(),
                     milliseconds(message.duration_ms()),
                     std::nullopt,
                     message.revision()};
  if (message.state() > 0) {
    order.status = RolloutStatus{static_cast<RolloutState>(message.state() - 1),
                                 message.state_target()};
  }
  return order;
}

template <typename Field>
void EncodeSide(const SideCounters& side, Field* field) {
  for (const uint32_t number :
       {side.responses, side.failures, side.timed, side.slow})
    field->Add(number);
}

template <typename Field>
SideCounters DecodeSide(const Field& field) {
  return {field.Get(0), field.Get(1), field.Get(2), field.Get(3)};
}

bool IsValid(const wire::RolloutReport& message) {
  if (message.verdict() >= kRolloutVerdictCount ||
      message.routes_size() > kMaxReportRoutes)
    return false;
  for (const wire::RolloutRoute& route : message.routes()) {
    if (route.old_side_size() != kSideNumbers ||
        route.target_size() != kSideNumbers)
      return false;
  }
  return true;
}

RolloutReport DecodeReport(const wire::RolloutReport& message) {
  RolloutReport report;
  report.order = message.order();
  report.order_revision = message.order_revision();
  report.order_age = milliseconds(message.order_age_ms());
  report.verdict = static_cast<RolloutVerdict>(message.verdict());
  report.has_counters = !message.sender().empty();
  report.sender = message.sender();
  report.zone = message.zone();
  report.start = message.start();
  report.sequence = message.sequence();
  report.old_requests = message.old_requests();
  report.shifted = message.shifted();
  report.is_complete = message.is_complete();
  report.age = milliseconds(message.age_ms());
  for (const wire::RolloutRoute& route : message.routes()) {
    report.counters.routes[route.route()] = {DecodeSide(route.old_side()),
                                             DecodeSide(route.target())};
  }
  return report;
}

}  // namespace

uint32_t ToMilliseconds(Duration time) {
  return static_cast<uint32_t>(std::chrono::ceil<milliseconds>(time).count());
}

void EncodeListStatus(const ListStatus& status, wire::ListStatus* message) {
  message->set_changed_at(status.changed_at);
  message->set_complete_to(status.complete_to);
  message->set_age_ms(ToMilliseconds(status.age));
  if (status.epoch)
    message->set_epoch(*status.epoch);
}

ListStatus DecodeListStatus(const wire::ListStatus& message) {
  return {message.changed_at(), message.complete_to(),
          milliseconds(message.age_ms()),
          message.has_epoch() ? StoreEpoch(message.epoch()) : std::nullopt};
}

void EncodeChange(const StoreChange& change, wire::StoreChange* message) {
  message->set_name(change.name);
  message->set_removed(change.removed);
  if (change.rollout)
    EncodeOrder(*change.rollout, message->mutable_rollout());
  if (!change.endpoint)
    return;
  const EndpointRecord& record = *change.endpoint;
  message->set_started_at_ms(record.started_at_ms);
  message->set_service(record.service);
  message->set_address(record.address.ToString());
  message->set_zone(record.zone);
  message->set_slots(record.slots);
  message->set_draining(record.draining);
  message->set_cold_left_ms(ToMilliseconds(record.cold_left));
  message->set_version(record.version);
}

std::optional<StoreChange> DecodeChange(RelayedList list,
                                        const wire::StoreChange& message) {
  StoreChange change{message.name(), message.removed(), std::nullopt};
  if (change.removed)
    return change;
  if (list == RelayedList::kRollouts) {
    change.rollout = DecodeOrder(message.name(), message.rollout());
    return change.rollout ? std::optional(change) : std::nullopt;
  }
  if (list != RelayedList::kEndpoints)
    return change;
  const Result<SocketAddress> address = SocketAddress::Parse(message.address());
  if (!address)
    return std::nullopt;
  change.endpoint =
      EndpointRecord{message.name(),     message.started_at_ms(),
                     message.service(),  *address,
                     message.zone(),     message.slots(),
                     message.draining(), milliseconds(message.cold_left_ms()),
                     message.version()};
  return change;
}

std::optional<ChangeBatchPart> DecodeChangePart(
    RelayedList list,
    const wire::ChangePart& message) {
  ChangeBatchPart part;
  part.batch.from = message.from();
  part.batch.to = message.to();
  if (message.has_epoch())
    part.batch.epoch = message.epoch();
  part.index = message.index();
  part.count = message.count();
  for (const wire::StoreChange& item : message.changes()) {
    const std::optional<StoreChange> change = DecodeChange(list, item);
    if (!change)
      return std::nullopt;
    part.batch.changes.push_back(*change);
  }
  return part;
}

void EncodeReport(const RolloutReport& report, wire::RolloutReport* message) {
  message->set_order(report.order);
  message->set_order_revision(report.order_revision);
  message->set_order_age_ms(ToMilliseconds(report.order_age));
  message->set_verdict(static_cast<uint32_t>(report.verdict));
  if (!report.has_counters)
    return;
  message->set_sequence(report.sequence);
  message->set_sender(report.sender);
  message->set_start(report.start);
  message->set_zone(report.zone);
  message->set_is_complete(report.is_complete);
  message->set_age_ms(ToMilliseconds(report.age));
  message->set_shifted(report.shifted);
  message->set_old_requests(report.old_requests);
  for (const auto& [route, counters] : report.counters.routes) {
    wire::RolloutRoute* field = message->add_routes();
    field->set_route(route);
    EncodeSide(counters.old_side, field->mutable_old_side());
    EncodeSide(counters.target, field->mutable_target());
  }
}

std::vector<RolloutReport> DecodeReports(
    const wire::GatewayHeartbeat& message) {
  std::vector<RolloutReport> reports;
  for (const wire::RolloutReport& report : message.rollout_reports()) {
    if (IsValid(report))
      reports.push_back(DecodeReport(report));
  }
  return reports;
}

void EncodeRateLimits(const std::vector<RateLimitUpdate>& updates,
                      wire::RateLimitReport* message) {
  for (const RateLimitUpdate& update : updates) {
    message->add_endpoints(update.endpoint);
    message->add_starts(update.start);
    message->add_rates(update.rate ? static_cast<float>(*update.rate)
                                   : kNotLimited);
    // Rounded up: a word must not seem later than it is.
    message->add_ages(static_cast<uint32_t>(update.age / kAgeUnit) + 1);
  }
}

std::optional<std::vector<RateLimitUpdate>> DecodeRateLimits(
    const wire::RateLimitReport& message) {
  const int count = message.endpoints_size();
  if (message.starts_size() != count || message.rates_size() != count ||
      message.ages_size() != count) {
    return std::nullopt;
  }
  std::vector<RateLimitUpdate> updates;
  for (int i = 0; i < count; ++i) {
    if (!std::isfinite(message.rates(i)))
      return std::nullopt;
    RateLimitUpdate update{message.endpoints(i), message.starts(i),
                           std::nullopt, message.ages(i) * kAgeUnit};
    if (message.rates(i) >= 0)
      update.rate = message.rates(i);
    updates.push_back(update);
  }
  return updates;
}

void EncodeEvidence(const CrashEvidence& evidence,
                    wire::PartEvidence* message) {
  message->set_part(evidence.part);
  for (const uint32_t crash : evidence.crashes)
    message->add_crashes(crash);
  for (const uint32_t crash : evidence.cleared)
    message->add_cleared(crash);
  for (const uint32_t crash : evidence.overlapping)
    message->add_overlapping(crash);
  for (const uint32_t crash : evidence.tried)
    message->add_tried(crash);
  message->set_age_ms(ToMilliseconds(evidence.age));
}

CrashEvidence DecodeEvidence(const wire::PartEvidence& message) {
  return {message.part(),
          {message.crashes().begin(), message.crashes().end()},
          {message.cleared().begin(), message.cleared().end()},
          {message.overlapping().begin(), message.overlapping().end()},
          {message.tried().begin(), message.tried().end()},
          milliseconds(message.age_ms())};
}

std::vector<wire::StreamReport> EncodeStreams(
    const std::vector<StreamOrigin>& streams) {
  std::vector<wire::StreamReport> reports;
  std::vector<std::string> versions;  // of the last report
  size_t version_bytes = 0;
  for (const StreamOrigin& stream : streams) {
    // No heartbeat could carry it.
    if (stream.version.size() > kMaxReportVersionBytes)
      continue;
    auto found = std::find(versions.begin(), versions.end(), stream.version);
    const size_t new_bytes =
        found == versions.end() ? stream.version.size() + 2 : 0;
    if (reports.empty() || reports.back().streams_size() == kMaxReportStreams ||
        version_bytes + new_bytes > kMaxReportVersionBytes + 2) {
      reports.emplace_back().set_service(stream.service);
      versions.clear();
      version_bytes = 0;
      found = versions.end();
    }
    wire::StreamReport& report = reports.back();
    if (found == versions.end()) {
      found = versions.insert(versions.end(), stream.version);
      version_bytes += stream.version.size() + 2;
      report.add_versions(stream.version);
    }
    report.add_streams(stream.key.hash);
    report.add_origins(static_cast<uint32_t>(found - versions.begin()));
    report.add_ages(static_cast<uint32_t>(stream.age / kAgeUnit));
  }
  return reports;
}

std::optional<std::vector<StreamOrigin>> DecodeStreams(
    const wire::StreamReport& message) {
  const int count = message.streams_size();
  if (message.origins_size() != count || message.ages_size() != count)
    return std::nullopt;
  std::vector<StreamOrigin> streams;
  for (int i = 0; i < count; ++i) {
    if (message.origins(i) >= static_cast<uint32_t>(message.versions_size()))
      return std::nullopt;
    streams.push_back({{message.streams(i)},
                       message.service(),
                       message.versions(static_cast<int>(message.origins(i))),
                       message.ages(i) * kAgeUnit});
  }
  return streams;
}

}  // namespace teaselthread
