#include "libteaselthread/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>

#include "libteaselthread/section_reader.h"
#include "libteaselthread/text_file.h"

namespace teaselthread {
namespace {

constexpr std::string_view kSections[] = {"node",    "peers",  "platform",
                                          "callers", "timing", "idempotency"};
constexpr IntegerRange kTtlRangeMs{100, 600'000};
constexpr IntegerRange kTimingRangeMs{10, 600'000};
constexpr IntegerRange kHeaderRange{1'024, 1'048'576};
constexpr IntegerRange kBodyRange{1'024, 67'108'864};
constexpr IntegerRange kConnectionsRange{1, 1'000'000};
constexpr IntegerRange kKeysRange{1, 10'000'000};
constexpr IntegerRange kAnswerBytesRange{0, 1'073'741'824};
constexpr IntegerRange kLifetimeRangeS{1, 604'800};

bool IsIpAddress(const std::string& host) {
  in6_addr ignored;
  return inet_pton(AF_INET, host.c_str(), &ignored) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &ignored) == 1;
}

CallerLimits ReadCallerLimits(SectionReader& reader) {
  CallerLimits limits;
  limits.max_header_bytes = static_cast<uint32_t>(
      reader.Integer("max_header_bytes", 16'384, kHeaderRange));
  limits.max_body_bytes = static_cast<uint32_t>(
      reader.Integer("max_body_bytes", 1'048'576, kBodyRange));
  limits.max_connections = static_cast<uint32_t>(
      reader.Integer("max_connections", 10'000, kConnectionsRange));
  limits.idle_timeout =
      reader.Milliseconds("idle_timeout_ms", 60'000, kTimingRangeMs);
  limits.request_timeout =
      reader.Milliseconds("request_timeout_ms", 10'000, kTimingRangeMs);
  return limits;
}

TimingSettings ReadTiming(SectionReader& reader) {
  TimingSettings timing;
  const auto read = [&](std::string_view key, int64_t fallback) {
    return reader.Milliseconds(key, fallback, kTimingRangeMs);
  };
  timing.heartbeat_interval = read("heartbeat_interval_ms", 500);
  timing.heartbeat_timeout = read("heartbeat_timeout_ms", 400);
  timing.suspicion_timeout = read("suspicion_timeout_ms", 3'000);
  timing.fence_timeout = read("fence_timeout_ms", 2'500);
  timing.endpoint_poll = read("endpoint_poll_ms", 2'000);
  timing.lease_interval = read("lease_interval_ms", 5'000);
  timing.progress_timeout = read("progress_timeout_ms", 15'000);
  timing.connect_timeout = read("connect_timeout_ms", 1'000);
  return timing;
}

IdempotencySettings ReadIdempotency(SectionReader& reader) {
  IdempotencySettings idempotency;
  idempotency.max_keys =
      static_cast<uint32_t>(reader.Integer("max_keys", 200'000, kKeysRange));
  idempotency.max_answer_bytes = static_cast<uint64_t>(
      reader.Integer("max_answer_bytes", 16'777'216, kAnswerBytesRange));
  idempotency.answer_ttl =
      reader.Milliseconds("answer_ttl_ms", 600'000, {1, 86'400'000});
  idempotency.ticket_lifetime =
      WallSeconds(reader.Integer("ticket_lifetime_s", 86'400, kLifetimeRangeS));
  return idempotency;
}

}  // namespace

Result<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  const auto fail = [&] {
    return Error{
        ErrorCode::kBadValue,
        "expected an IP address and a port, found '" + std::string(text) + "'"};
  };
  if (colon == std::string_view::npos)
    return fail();
  SocketAddress address;
  address.host = text.substr(0, colon);
  if (address.host.size() > 2 && address.host.front() == '[')
    address.host = address.host.substr(1, address.host.size() - 2);
  const char* end = text.data() + text.size();
  auto [stop, status] =
      std::from_chars(text.data() + colon + 1, end, address.port);
  const bool port_is_valid = status == std::errc() && stop == end;
  if (!port_is_valid || address.port == 0 || !IsIpAddress(address.host))
    return fail();
  return address;
}

std::string SocketAddress::ToString() const {
  const bool is_v6 = host.find(':') != std::string::npos;
  return (is_v6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

Result<Settings> Settings::Parse(std::string_view text, std::string source) {
  Result<IniDocument> document = IniDocument::Parse(text, source);
  if (!document)
    return document.reasons();
  Settings settings;
  std::vector<Error> errors;
  for (const IniSection& section : document->sections()) {
    const bool is_known = std::find(std::begin(kSections), std::end(kSections),
                                    section.Title()) != std::end(kSections);
    if (!is_known) {
      errors.push_back({ErrorCode::kUnknownSection,
                        source + ": [" + section.Title() +
                            "]: no such section in a node's settings"});
    }
  }
  for (std::string_view kind : kSections) {
    const IniSection* present = document->Find(kind, "");
    const IniSection absent{std::string(kind), "", {}};
    settings.ReadSection(present ? *present : absent, source, &errors);
  }
  if (!errors.empty())
    return errors;
  return settings;
}

Result<Settings> Settings::Load(const std::string& file_name) {
  const Result<std::string> text = ReadTextFile(file_name);
  return text ? Parse(*text, file_name) : Result<Settings>(text.last_reason());
}

void Settings::ReadSection(const IniSection& section,
                           const std::string& source,
                           std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  const std::string place = source + ": [" + section.kind + "]";
  if (section.kind == "node") {
    name_ = reader.RequiredText("name");
    zone_ = reader.RequiredText("zone");
    caller_listen_ = reader.RequiredAddress("caller_listen");
    peer_listen_ = reader.RequiredAddress("peer_listen");
    log_level_ = reader.Text("log_level", "info");
    const std::set<std::string> levels = {"debug", "info", "warn", "error"};
    if (!levels.contains(log_level_)) {
      errors->push_back({ErrorCode::kBadValue,
                         place +
                             " log_level: expected debug, info, warn or "
                             "error, found '" +
                             log_level_ + "'"});
    }
  } else if (section.kind == "peers") {
    for (const std::string& item : reader.List("seeds")) {
      Result<SocketAddress> seed = SocketAddress::Parse(item);
      if (seed) {
        seeds_.push_back(*seed);
        continue;
      }
      errors->push_back({seed.last_reason().code,
                         place + " seeds: " + seed.last_reason().detail});
    }
  } else if (section.kind == "platform") {
    platform_ = reader.RequiredAddress("address");
  } else if (section.kind == "callers") {
    address_ttl_ = reader.Milliseconds("address_ttl_ms", 10'000, kTtlRangeMs);
    caller_limits_ = ReadCallerLimits(reader);
  } else if (section.kind == "timing") {
    timing_ = ReadTiming(reader);
  } else {
    idempotency_ = ReadIdempotency(reader);
  }
  reader.RejectUnknownKeys();
}

}  // namespace teaselthread
