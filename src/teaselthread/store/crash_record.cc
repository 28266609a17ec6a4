#include "teaselthread/store/crash_record.h"

#include <boost/json.hpp>
#include <utility>

#include "teaselthread/store/record_fields.h"

namespace teaselthread {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr char kWrittenAt[] = "written_at_ms";
constexpr char kParts[] = "parts";
// Callers choose the bytes of a part, which need not be text.
constexpr char kPart[] = "part_hex";
constexpr char kAge[] = "age_ms";
constexpr size_t kByteDigits = 2;
// Higher ages are errors.
constexpr uint64_t kMaxAgeMs = 86'400'000;

using CrashSet = std::set<uint32_t> CrashEvidence::*;
constexpr std::pair<const char*, CrashSet> kSets[] = {
    {"crashes", &CrashEvidence::crashes},
    {"cleared", &CrashEvidence::cleared},
    {"overlapping", &CrashEvidence::overlapping},
    {"tried", &CrashEvidence::tried}};

std::optional<std::string> DecodeHex(std::string_view text) {
  if (text.size() % kByteDigits != 0)
    return std::nullopt;
  std::string bytes;
  for (; !text.empty(); text.remove_prefix(kByteDigits)) {
    const auto byte = ParseHex(text.substr(0, kByteDigits));
    if (!byte)
      return std::nullopt;
    bytes += static_cast<char>(*byte);
  }
  return bytes;
}

bool DecodeSet(const json::object& fields,
               const char* key,
               std::set<uint32_t>* crashes) {
  const json::array* items = ArrayField(fields, key);
  if (!items || items->size() > 2 * CrashEvidence::kMaxCrashes)
    return false;
  for (const json::value& item : *items) {
    boost::system::error_code failure;
    const auto crash =
        item.is_number() ? item.to_number<uint32_t>(failure) : uint32_t{0};
    if (!item.is_number() || failure)
      return false;
    crashes->insert(crash);
  }
  return true;
}

std::optional<CrashEvidence> DecodePart(const json::value& value) {
  const json::object* fields = value.if_object();
  if (!fields)
    return std::nullopt;
  const auto part_hex = StringField(*fields, kPart);
  const auto age_ms = UnsignedField(*fields, kAge);
  const auto part = part_hex ? DecodeHex(*part_hex) : std::nullopt;
  if (!part || !age_ms || *age_ms > kMaxAgeMs)
    return std::nullopt;
  CrashEvidence evidence;
  evidence.part = *part;
  evidence.age = milliseconds(*age_ms);
  for (const auto& [key, crashes] : kSets) {
    if (!DecodeSet(*fields, key, &(evidence.*crashes)))
      return std::nullopt;
  }
  return evidence;
}

}  // namespace

json::value EncodeCrashRecord(const CrashRecord& record) {
  json::array parts;
  for (const CrashEvidence& evidence : record.parts) {
    json::object fields;
    std::string part_hex;
    for (const char byte : evidence.part)
      AppendHex(static_cast<unsigned char>(byte), kByteDigits, &part_hex);
    fields[kPart] = part_hex;
    fields[kAge] =
        std::chrono::duration_cast<milliseconds>(evidence.age).count();
    for (const auto& [key, crashes] : kSets)
      fields[key] = json::value_from(evidence.*crashes);
    parts.push_back(std::move(fields));
  }
  json::object content;
  content[kWrittenAt] = record.written_at_ms;
  content[kParts] = std::move(parts);
  return content;
}

std::optional<CrashRecord> DecodeCrashRecord(const json::value& content) {
  const json::object* fields = content.if_object();
  if (!fields)
    return std::nullopt;
  const auto written_at_ms = UnsignedField(*fields, kWrittenAt);
  const json::array* parts = ArrayField(*fields, kParts);
  if (!written_at_ms || !parts)
    return std::nullopt;
  CrashRecord record;
  record.written_at_ms = *written_at_ms;
  for (const json::value& part : *parts) {
    const auto evidence = DecodePart(part);
    if (!evidence)
      return std::nullopt;
    record.parts.push_back(*evidence);
  }
  return record;
}

}  // namespace teaselthread
