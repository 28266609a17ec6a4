#include "libteaselthread/emulator/scenario.h"

#include <cmath>

#include "libteaselthread/section_reader.h"
#include "libteaselthread/text_file.h"

namespace teaselthread::emulator {
namespace {

// Limits of a scenario; a run beyond them takes hours.
constexpr IntegerRange kGateways = {1, 1'000};
constexpr IntegerRange kEngines = {1, 10'000};
constexpr IntegerRange kTokens = {0, 1'000'000};
constexpr double kMaxSeconds = 3'600;
constexpr double kMaxMilliseconds = 60'000;
constexpr double kMaxRequestsPerSecond = 100'000;

uint32_t Count(SectionReader& reader,
               std::string_view key,
               int64_t fallback,
               IntegerRange range) {
  return static_cast<uint32_t>(reader.Integer(key, fallback, range));
}

// Reads a key in milliseconds that may have a fraction.
Duration FractionalMilliseconds(SectionReader& reader,
                                std::string_view key,
                                double fallback) {
  const double ms = reader.Number(key, fallback, 0, kMaxMilliseconds);
  return Duration(static_cast<Duration::rep>(std::llround(ms * 1'000)));
}

Duration Seconds(SectionReader& reader, std::string_view key, double fallback) {
  const double seconds = reader.Number(key, fallback, 0, kMaxSeconds);
  return Duration(static_cast<Duration::rep>(std::llround(seconds * 1e6)));
}

void ReadFleet(SectionReader& reader, Scenario* scenario) {
  scenario->name = reader.RequiredText("name");
  scenario->gateways = Count(reader, "gateways", 8, kGateways);
  scenario->engines = Count(reader, "engines", 16, kEngines);
  scenario->zones = Count(reader, "zones", 3, {1, 100});
  scenario->length = Seconds(reader, "length_s", 30);
}

void ReadEngine(SectionReader& reader, Scenario* scenario) {
  EngineParameters& parameters = scenario->engine_parameters;
  parameters.slots = Count(reader, "slots", parameters.slots, {1, 10'000});
  parameters.step = FractionalMilliseconds(reader, "step_ms", 3);
  parameters.step_per_request =
      FractionalMilliseconds(reader, "step_per_request_ms", 0.1);
  parameters.prefill_per_ms = reader.Number(
      "prefill_tokens_per_ms", parameters.prefill_per_ms, 0.1, 1e5);
  parameters.prefill_chunk =
      Count(reader, "prefill_chunk", parameters.prefill_chunk, {1, 1'000'000});
  parameters.kv_tokens = static_cast<uint64_t>(
      reader.Integer("kv_tokens", 400'000, {1, 1'000'000'000}));
  parameters.copy_setup = FractionalMilliseconds(reader, "copy_setup_ms", 5);
  parameters.copy_per_ms =
      reader.Number("copy_tokens_per_ms", parameters.copy_per_ms, 0.1, 1e6);
}

void ReadTrouble(SectionReader& reader, Scenario* scenario) {
  scenario->hot = {Seconds(reader, "hot_from_s", 0),
                   Seconds(reader, "hot_for_s", 0)};
  scenario->burst = {Seconds(reader, "burst_from_s", 0),
                     Seconds(reader, "burst_for_s", 0)};
  scenario->burst_multiple = reader.Number("burst_multiple", 1, 0.01, 100);
  scenario->slow_engines = Count(reader, "slow_engines", 0, {0, 10'000});
  scenario->slowness = reader.Number("slowness", 1, 1, 1'000);
  scenario->crash = {Seconds(reader, "crash_from_s", 0), Duration::zero()};
  scenario->crash_share = reader.Number("crash_share", 0, 0, 1);
  scenario->evacuation = {Seconds(reader, "evacuate_from_s", 0),
                          Seconds(reader, "evacuate_for_s", 0)};
  scenario->drain = {Seconds(reader, "drain_from_s", 0), Duration::zero()};
  scenario->drain_share = reader.Number("drain_share", 0, 0, 1);
}

ChatClass ReadClass(SectionReader& reader, const std::string& name) {
  ChatClass chat_class;
  chat_class.name = name;
  chat_class.per_second =
      reader.Number("per_second", 1, 0.01, kMaxRequestsPerSecond);
  chat_class.documents = Count(reader, "documents", 100, {1, 10'000'000});
  chat_class.system_tokens = Count(reader, "system_tokens", 0, kTokens);
  chat_class.document_tokens = Count(reader, "document_tokens", 1'000, kTokens);
  chat_class.own_tokens = Count(reader, "own_tokens", 300, kTokens);
  chat_class.output_tokens =
      Count(reader, "output_tokens", 100, {1, 1'000'000});
  chat_class.priority = static_cast<int>(reader.Integer("priority", 0, {0, 9}));
  chat_class.objective = FractionalMilliseconds(reader, "objective_ms", 1'000);
  chat_class.hot_share = reader.Number("hot_share", 0, 0, 1);
  return chat_class;
}

}  // namespace

Result<Scenario> Scenario::Parse(const std::string& text,
                                 const std::string& source) {
  const Result<IniDocument> document = IniDocument::Parse(text, source);
  if (!document)
    return document.reasons();
  std::vector<Error> errors;
  Scenario scenario;
  for (const IniSection& section : document->sections()) {
    SectionReader reader(section, source, &errors);
    if (section.Title() == "fleet") {
      ReadFleet(reader, &scenario);
    } else if (section.Title() == "engine") {
      ReadEngine(reader, &scenario);
    } else if (section.Title() == "trouble") {
      ReadTrouble(reader, &scenario);
    } else if (section.kind == "class" && !section.name.empty()) {
      scenario.classes.push_back(ReadClass(reader, section.name));
    } else {
      errors.push_back(
          {ErrorCode::kUnknownSection,
           source + ": [" + section.Title() + "]: no such section"});
      continue;
    }
    reader.RejectUnknownKeys();
  }
  if (scenario.classes.empty()) {
    errors.push_back(
        {ErrorCode::kMissingKey,
         source + ": at least one [class NAME] section is required"});
  }
  if (!errors.empty())
    return errors;
  return scenario;
}

Result<Scenario> Scenario::Load(const std::string& file_name) {
  const Result<std::string> text = ReadTextFile(file_name);
  return text ? Parse(*text, file_name) : Result<Scenario>(text.last_reason());
}

}  // namespace teaselthread::emulator
