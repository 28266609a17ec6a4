#include "teaselthread/gateway/gateway_settings.h"

#include <algorithm>
#include <iterator>
#include <sstream>

#include "libteaselthread/attempts/hedge_policy.h"
#include "libteaselthread/section_reader.h"
#include "libteaselthread/text_file.h"

namespace teaselthread {
namespace {

constexpr std::string_view kSections[] = {"gateway", "peers",    "limits",
                                          "callers", "rollouts", "hedging"};
constexpr std::string_view kLogLevels[] = {"debug", "info", "warn", "error"};
constexpr IntegerRange kMillisecondsRange = {1, 600'000};
constexpr IntegerRange kTtlRangeMs = {500, 60'000};
constexpr IntegerRange kMemoryRangeMb = {64, 1'000'000};
constexpr int kMegabyteShift = 20;
constexpr int kKilobyteShift = 10;
constexpr IntegerRange kConnectionsRange = {0, 1'000'000};
constexpr IntegerRange kBodyRateRange = {0, 1'000'000'000};
constexpr IntegerRange kReadAheadRangeKb = {16, 65'536};

int64_t InMilliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

int64_t InSeconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time).count();
}

std::string LocationOf(const IniSection& section, const std::string& source) {
  return source + ": [" + section.kind + "]";
}

}  // namespace

Result<GatewaySettings> GatewaySettings::Parse(std::string_view text,
                                               std::string source) {
  Result<IniDocument> document = IniDocument::Parse(text, source);
  if (!document)
    return document.reasons();
  std::vector<Error> errors;
  for (const IniSection& section : document->sections()) {
    if (std::find(std::begin(kSections), std::end(kSections),
                  section.Title()) == std::end(kSections)) {
      errors.push_back({ErrorCode::kUnknownSection,
                        source + ": [" + section.Title() +
                            "]: no such section in a gateway's settings"});
    }
  }
  const auto find = [&](std::string_view kind) {
    const IniSection* section = document->Find(kind, "");
    return section ? *section : IniSection{std::string(kind), "", {}};
  };
  GatewaySettings settings;
  settings.ReadNode(find("gateway"), source, &errors);
  settings.ReadPeers(find("peers"), source, &errors);
  settings.ReadLimits(find("limits"), source, &errors);
  settings.ReadCallers(find("callers"), source, &errors);
  settings.ReadRollouts(find("rollouts"), source, &errors);
  settings.ReadHedging(find("hedging"), source, &errors);
  if (!errors.empty())
    return errors;
  return settings;
}

Result<GatewaySettings> GatewaySettings::Load(const std::string& file_name) {
  const Result<std::string> text = ReadTextFile(file_name);
  return text ? Parse(*text, file_name)
              : Result<GatewaySettings>(text.last_reason());
}

std::string GatewaySettings::ToText() const {
  std::vector<std::string> seeds;
  for (const SocketAddress& seed : seeds_)
    seeds.push_back(seed.ToString());
  std::ostringstream out;
  out << "[gateway]\n"
      << "name = " << name_ << "\nzone = " << zone_
      << "\nfront_listen = " << front_listen_.ToString()
      << "\nreadiness_listen = " << readiness_listen_.ToString()
      << "\ndirectory_listen = " << directory_listen_.ToString()
      << "\nmetrics_listen = " << metrics_listen_.ToString()
      << "\npeer_listen = " << peer_listen_.ToString()
      << "\nstore = " << store_.ToString()
      << "\nmemory_mb = " << (memory_bytes_ >> kMegabyteShift)
      << "\naddress_ttl_ms = " << InMilliseconds(address_ttl_)
      << "\nlog_level = " << log_level_ << "\n\n[peers]\n"
      << "seeds = " << JoinList(seeds)
      << "\nheartbeat_interval_ms = " << InMilliseconds(heartbeat_interval_)
      << "\nheartbeat_timeout_ms = " << InMilliseconds(heartbeat_timeout_)
      << "\n\n[limits]\n"
      << "revocation_ms = " << InMilliseconds(limits_.revocation_bound)
      << "\nconfiguration_ms = " << InMilliseconds(limits_.configuration_bound)
      << "\ndrain_ms = " << InMilliseconds(limits_.drain_bound)
      << "\ncontact_ms = " << InMilliseconds(limits_.contact_bound)
      << "\nretry_ratio = " << limits_.retries.ratio
      << "\nretry_slack = " << limits_.retries.slack
      << "\nretry_window_s = " << InSeconds(limits_.retries.window)
      << "\ncold_over = " << limits_.cold_over
      << "\ncold_slack = " << limits_.cold_slack
      << "\nload_multiple = " << limits_.load_multiple
      << "\nleaving_grace_s = " << InSeconds(limits_.leaving_grace)
      << "\n\n[callers]\n"
      << "max_connections = " << callers_.max_connections
      << "\nmin_body_rate = " << callers_.body_rate.bytes_per_second
      << "\nbody_grace_ms = " << InMilliseconds(callers_.body_rate.grace)
      << "\nread_ahead_kb = " << (callers_.read_ahead_bytes >> kKilobyteShift)
      << "\n\n[rollouts]\n"
      << "expose_share = " << rollouts_.expose_share
      << "\nexpose_slack = " << rollouts_.expose_slack
      << "\nrollback_ms = " << InMilliseconds(rollouts_.rollback)
      << "\n\n[hedging]\n"
      << "share = " << hedging_share_ << "\n";
  return out.str();
}

void GatewaySettings::ReadNode(const IniSection& section,
                               const std::string& source,
                               std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  const std::string location = LocationOf(section, source);
  name_ = reader.RequiredText("name");
  zone_ = reader.RequiredText("zone");
  log_level_ = reader.Text("log_level", "info");
  if (std::find(std::begin(kLogLevels), std::end(kLogLevels), log_level_) ==
      std::end(kLogLevels)) {
    errors->push_back(
        {ErrorCode::kBadValue, location +
                                   " log_level: expected debug, info, warn or "
                                   "error, found '" +
                                   log_level_ + "'"});
  }
  front_listen_ = reader.RequiredAddress("front_listen");
  readiness_listen_ = reader.RequiredAddress("readiness_listen");
  directory_listen_ = reader.RequiredAddress("directory_listen");
  metrics_listen_ = reader.RequiredAddress("metrics_listen");
  peer_listen_ = reader.RequiredAddress("peer_listen");
  store_ = reader.RequiredAddress("store");
  address_ttl_ = reader.Milliseconds("address_ttl_ms", 2'000, kTtlRangeMs);
  memory_bytes_ =
      static_cast<size_t>(reader.Integer("memory_mb", 160, kMemoryRangeMb))
      << kMegabyteShift;
  reader.RejectUnknownKeys();
}

void GatewaySettings::ReadPeers(const IniSection& section,
                                const std::string& source,
                                std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  for (const std::string& item : reader.List("seeds")) {
    Result<SocketAddress> seed = SocketAddress::Parse(item);
    if (seed) {
      seeds_.push_back(*seed);
    } else {
      errors->push_back({seed.last_reason().code,
                         LocationOf(section, source) +
                             " seeds: " + seed.last_reason().detail});
    }
  }
  heartbeat_interval_ =
      reader.Milliseconds("heartbeat_interval_ms", 100, kMillisecondsRange);
  heartbeat_timeout_ =
      reader.Milliseconds("heartbeat_timeout_ms", 1'300, kMillisecondsRange);
  reader.RejectUnknownKeys();
}

void GatewaySettings::ReadLimits(const IniSection& section,
                                 const std::string& source,
                                 std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  limits_.revocation_bound =
      reader.Milliseconds("revocation_ms", 5'000, kMillisecondsRange);
  limits_.configuration_bound =
      reader.Milliseconds("configuration_ms", 2'000, kMillisecondsRange);
  limits_.retries.ratio = reader.Number("retry_ratio", 0.2, 0, 10);
  limits_.retries.slack = reader.Number("retry_slack", 50, 0, 1e6);
  limits_.retries.window =
      std::chrono::seconds(reader.Integer("retry_window_s", 10, {1, 3'600}));
  limits_.drain_bound =
      reader.Milliseconds("drain_ms", 2'000, kMillisecondsRange);
  limits_.contact_bound =
      reader.Milliseconds("contact_ms", 3'000, kMillisecondsRange);
  limits_.cold_over = reader.Number("cold_over", 1.5, 0, 100);
  limits_.cold_slack = reader.Number("cold_slack", 5, 0, 1e6);
  limits_.load_multiple = reader.Number("load_multiple", 2, 1, 1e6);
  limits_.leaving_grace =
      std::chrono::seconds(reader.Integer("leaving_grace_s", 8, {1, 3'600}));
  reader.RejectUnknownKeys();
}

void GatewaySettings::ReadCallers(const IniSection& section,
                                  const std::string& source,
                                  std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  callers_.max_connections = static_cast<size_t>(
      reader.Integer("max_connections", 0, kConnectionsRange));
  callers_.body_rate.bytes_per_second = static_cast<size_t>(
      reader.Integer("min_body_rate", 1'024, kBodyRateRange));
  callers_.body_rate.grace =
      reader.Milliseconds("body_grace_ms", 5'000, kMillisecondsRange);
  callers_.read_ahead_bytes = static_cast<size_t>(reader.Integer(
                                  "read_ahead_kb", 256, kReadAheadRangeKb))
                              << kKilobyteShift;
  reader.RejectUnknownKeys();
}

void GatewaySettings::ReadRollouts(const IniSection& section,
                                   const std::string& source,
                                   std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  rollouts_.expose_share = reader.Number("expose_share", 0, 0, 1);
  rollouts_.expose_slack = reader.Number("expose_slack", 50, 0, 1e6);
  rollouts_.rollback =
      reader.Milliseconds("rollback_ms", 5'000, kMillisecondsRange);
  reader.RejectUnknownKeys();
}

void GatewaySettings::ReadHedging(const IniSection& section,
                                  const std::string& source,
                                  std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  hedging_share_ = reader.Number("share", 0, 0, HedgePolicy::kMaxShare);
  reader.RejectUnknownKeys();
}

}  // namespace teaselthread
