#ifndef TEASELTHREAD_EMULATOR_SCENARIO_H_
#define TEASELTHREAD_EMULATOR_SCENARIO_H_

#include <string>
#include <vector>

#include "libteaselthread/emulator/emulated_engine.h"
#include "libteaselthread/error.h"

namespace teaselthread::emulator {

// A class of chats: arrival rate, prompt and output sizes, and objective.
struct ChatClass {
  std::string name;
  double per_second = 1;       // arrival rate over the whole fleet
  uint32_t documents = 100;    // chosen from uniformly
  uint32_t system_tokens = 0;  // system prompt, before the document
  uint32_t document_tokens = 1'000;
  uint32_t own_tokens = 300;
  uint32_t output_tokens = 100;
  int priority = 0;
  Duration objective = std::chrono::seconds(1);  // for the time to first token
  double hot_share = 0;  // share of chats about document 0 while it is hot

  friend auto operator<=>(const ChatClass&, const ChatClass&) = default;
};

// A half-open time interval.
struct TimeInterval {
  Duration begin{};
  Duration length{};

  bool Contains(Duration time) const {
    return time >= begin && time < begin + length;
  }
  friend auto operator<=>(const TimeInterval&, const TimeInterval&) = default;
};

// A fleet, its load and its faults, as read from a scenario file.
struct Scenario {
  std::string name;
  uint32_t gateways = 8;
  uint32_t engines = 16;
  uint32_t zones = 3;
  Duration length = std::chrono::seconds(30);
  EngineParameters engine_parameters;
  std::vector<ChatClass> classes;
  TimeInterval hot;    // when documents are hot
  TimeInterval burst;  // when the arrival rate is multiplied
  double burst_multiple = 1;
  uint32_t slow_engines = 0;
  double slowness = 1;      // step time factor of the slow engines
  TimeInterval crash;       // engines lose their caches at its begin
  double crash_share = 0;   // share of engines that crash
  TimeInterval evacuation;  // when the first zone gets no new requests
  TimeInterval drain;       // engines leave at its begin
  double drain_share = 0;   // share of engines that leave

  // Sections: [fleet], [engine], [trouble] and one [class NAME] per class.
  static Result<Scenario> Parse(const std::string& text,
                                const std::string& source);
  static Result<Scenario> Load(const std::string& file_name);
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_SCENARIO_H_
