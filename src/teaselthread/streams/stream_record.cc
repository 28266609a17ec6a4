#include "teaselthread/streams/stream_record.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "teaselthread/store/record_fields.h"

namespace teaselthread {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

// A stream is written as its key and its age, both as hexadecimal text.
constexpr size_t kKeyDigits = 16;
constexpr size_t kAgeDigits = 4;
constexpr size_t kStreamDigits = kKeyDigits + kAgeDigits;
constexpr Duration kAgeUnit = milliseconds(100);
constexpr uint64_t kMaxAgeUnits = 0xffff;
// Higher ages are errors.
constexpr uint64_t kMaxServedAgeMs = 86'400'000;

constexpr char kWrittenAt[] = "written_at_ms";
constexpr char kServices[] = "services";
constexpr char kService[] = "service";
constexpr char kVersions[] = "versions";
constexpr char kVersion[] = "version";
constexpr char kServedAge[] = "served_age_ms";
constexpr char kStreams[] = "streams";

// What is written of one version.
struct VersionRecord {
  std::optional<Duration> served_age;
  std::string streams;
};

bool DecodeStreamsOf(uint32_t service,
                     const std::string& version,
                     std::string_view text,
                     StreamRecord* record) {
  if (text.size() % kStreamDigits != 0)
    return false;
  for (; !text.empty(); text.remove_prefix(kStreamDigits)) {
    const auto key = ParseHex(text.substr(0, kKeyDigits));
    const auto age = ParseHex(text.substr(kKeyDigits, kAgeDigits));
    if (!key || !age)
      return false;
    record->streams.push_back(
        {{*key}, service, version, static_cast<int64_t>(*age) * kAgeUnit});
  }
  return true;
}

bool DecodeVersion(uint32_t service,
                   const json::value& value,
                   StreamRecord* record) {
  const json::object* fields = value.if_object();
  if (!fields)
    return false;
  const auto version = StringField(*fields, kVersion);
  const auto streams = StringField(*fields, kStreams);
  if (!version || !streams)
    return false;
  if (fields->contains(kServedAge)) {
    const auto age_ms = UnsignedField(*fields, kServedAge);
    if (!age_ms || *age_ms > kMaxServedAgeMs)
      return false;
    record->served[service][std::string(*version)] = milliseconds(*age_ms);
  }
  return DecodeStreamsOf(service, std::string(*version), *streams, record);
}

bool DecodeService(const json::value& value, StreamRecord* record) {
  const json::object* fields = value.if_object();
  if (!fields)
    return false;
  const auto service = UnsignedField(*fields, kService);
  const json::array* versions = ArrayField(*fields, kVersions);
  if (!service || *service > UINT32_MAX || !versions)
    return false;
  return std::all_of(
      versions->begin(), versions->end(), [&](const json::value& version) {
        return DecodeVersion(static_cast<uint32_t>(*service), version, record);
      });
}

}  // namespace

json::value EncodeStreamRecord(const StreamRecord& record) {
  std::map<uint32_t, std::map<std::string, VersionRecord>> all;
  for (const auto& [service, versions] : record.served) {
    for (const auto& [version, age] : versions)
      all[service][version].served_age = age;
  }
  for (const StreamOrigin& stream : record.streams) {
    std::string& text = all[stream.service][stream.version].streams;
    const auto age = static_cast<uint64_t>(stream.age / kAgeUnit);
    AppendHex(stream.key.hash, kKeyDigits, &text);
    AppendHex(std::min(age, kMaxAgeUnits), kAgeDigits, &text);
  }
  json::array services;
  for (const auto& [service, versions] : all) {
    json::array list;
    for (const auto& [version, content] : versions) {
      json::object fields;
      fields[kVersion] = version;
      if (content.served_age) {
        fields[kServedAge] =
            std::chrono::duration_cast<milliseconds>(*content.served_age)
                .count();
      }
      fields[kStreams] = content.streams;
      list.push_back(std::move(fields));
    }
    json::object fields;
    fields[kService] = service;
    fields[kVersions] = std::move(list);
    services.push_back(std::move(fields));
  }
  json::object content;
  content[kWrittenAt] = record.written_at_ms;
  content[kServices] = std::move(services);
  return content;
}

std::optional<StreamRecord> DecodeStreamRecord(const json::value& content) {
  const json::object* fields = content.if_object();
  if (!fields)
    return std::nullopt;
  const auto written_at_ms = UnsignedField(*fields, kWrittenAt);
  const json::array* services = ArrayField(*fields, kServices);
  if (!written_at_ms || !services)
    return std::nullopt;
  StreamRecord record;
  record.written_at_ms = *written_at_ms;
  for (const json::value& service : *services) {
    if (!DecodeService(service, &record))
      return std::nullopt;
  }
  return record;
}

}  // namespace teaselthread
