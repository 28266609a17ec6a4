#include "libteaselthread/configuration.h"

#include <utility>

#include "libteaselthread/section_reader.h"

namespace teaselthread {
namespace {

constexpr IntegerRange kPriorityRange{0, 9};
constexpr IntegerRange kDeadlineRangeMs{100, 3'600'000};
constexpr IntegerRange kSlotsRange{1, 100'000};
constexpr IntegerRange kRampRangeMs{0, 3'600'000};
constexpr IntegerRange kContextWaitRangeMs{0, 60'000};
constexpr IntegerRange kFirstByteRangeMs{1, 600'000};
constexpr IntegerRange kConcurrencyRange{1, 1'000'000};
constexpr double kMaxRequestsPerSecond = 1e6;
constexpr double kMaxLoadMultiple = 100;
constexpr CustomerLimits kDefaultLimits{200, 500};

Profile ReadProfile(const IniSection& section, SectionReader& reader) {
  Profile profile;
  profile.name = section.name;
  profile.priority =
      static_cast<int>(reader.Integer("priority", 5, kPriorityRange));
  profile.deadline =
      reader.Milliseconds("deadline_ms", 60'000, kDeadlineRangeMs);
  profile.repeatable = reader.Flag("repeatable", true);
  return profile;
}

EndpointPolicy ReadPolicy(SectionReader& reader) {
  EndpointPolicy policy;
  policy.load_multiple =
      reader.Number("load_multiple", 1.5, 1.0, kMaxLoadMultiple);
  policy.slots = static_cast<int>(reader.Integer("slots", 64, kSlotsRange));
  policy.cold_concurrency =
      static_cast<int>(reader.Integer("cold_concurrency", 1, kSlotsRange));
  policy.ramp = reader.Milliseconds("ramp_ms", 10'000, kRampRangeMs);
  policy.context_wait =
      reader.Milliseconds("context_wait_ms", 200, kContextWaitRangeMs);
  policy.cold_first_byte =
      reader.Milliseconds("cold_first_byte_ms", 30'000, kFirstByteRangeMs);
  return policy;
}

CustomerLimits ReadLimits(SectionReader& reader) {
  CustomerLimits limits;
  limits.requests_per_second =
      reader.Number("requests_per_second", kDefaultLimits.requests_per_second,
                    0.1, kMaxRequestsPerSecond);
  limits.concurrency = static_cast<int>(reader.Integer(
      "concurrency", kDefaultLimits.concurrency, kConcurrencyRange));
  return limits;
}

template <typename Map>
const typename Map::mapped_type* FindIn(const Map& map,
                                        const std::string& name) {
  auto found = map.find(name);
  return found == map.end() ? nullptr : &found->second;
}

std::set<std::string> ReadSet(SectionReader& reader, std::string_view key) {
  std::vector<std::string> items = reader.List(key);
  return {items.begin(), items.end()};
}

}  // namespace

Result<Configuration> Configuration::Parse(std::string_view text,
                                           std::string source,
                                           uint64_t version) {
  if (text.size() > kMaxTextBytes) {
    return Error{ErrorCode::kOversized,
                 source + ": " + std::to_string(text.size()) +
                     " bytes; the maximum is " + std::to_string(kMaxTextBytes)};
  }
  Result<IniDocument> document = IniDocument::Parse(text, source);
  if (!document)
    return document.reasons();
  Configuration configuration;
  configuration.version_ = version;
  configuration.text_ = text;
  configuration.default_limits_ = kDefaultLimits;
  std::vector<Error> errors;
  for (const IniSection& section : document->sections())
    configuration.ReadSection(section, source, &errors);
  if (configuration.profiles_.empty()) {
    errors.push_back({ErrorCode::kMissingKey,
                      source + ": at least one [profile NAME] is required"});
  }
  if (!errors.empty())
    return errors;
  return configuration;
}

void Configuration::ReadSection(const IniSection& section,
                                const std::string& source,
                                std::vector<Error>* errors) {
  SectionReader reader(section, source, errors);
  const bool is_named = !section.name.empty();
  if (section.kind == "profile" && is_named) {
    profiles_.emplace(section.name, ReadProfile(section, reader));
  } else if (section.kind == "model" && is_named) {
    models_.emplace(section.name, ReadPolicy(reader));
  } else if (section.kind == "service" && is_named) {
    services_.emplace(section.name, ReadPolicy(reader));
  } else if (section.kind == "customer" && is_named) {
    customers_.emplace(section.name, ReadLimits(reader));
  } else if (section.kind == "customers" && !is_named) {
    default_limits_ = ReadLimits(reader);
  } else if (section.kind == "fleet" && !is_named) {
    zones_out_ = ReadSet(reader, "zones_out");
    vms_out_ = ReadSet(reader, "vms_out");
    change_ids_ = reader.List("change_ids");
  } else {
    errors->push_back(
        {ErrorCode::kUnknownSection,
         source + ": [" + section.Title() +
             "]: expected [profile NAME], [model NAME], [service NAME], "
             "[customer NAME], [customers] or [fleet]"});
    return;
  }
  reader.RejectUnknownKeys();
}

const Profile* Configuration::FindProfile(const std::string& name) const {
  return FindIn(profiles_, name);
}

const EndpointPolicy* Configuration::FindModel(const std::string& name) const {
  return FindIn(models_, name);
}

const EndpointPolicy* Configuration::FindService(
    const std::string& name) const {
  return FindIn(services_, name);
}

const CustomerLimits& Configuration::LimitsOf(
    const std::string& customer) const {
  const CustomerLimits* limits = FindIn(customers_, customer);
  return limits ? *limits : default_limits_;
}

}  // namespace teaselthread
