#ifndef TEASELTHREAD_EMULATOR_SCENARIO_H_
#define TEASELTHREAD_EMULATOR_SCENARIO_H_

#include <string>
#include <vector>

#include "libteaselthread/emulator/emulated_engine.h"
#include "libteaselthread/error.h"

namespace teaselthread::emulator {

// A kind of chat: how many come, about what, and what they ask for.
struct ChatClass {
  std::string name;
  double per_second = 1;       // of the whole fleet
  uint32_t documents = 100;    // that chats choose from, evenly
  uint32_t system_tokens = 0;  // read before the document
  uint32_t document_tokens = 1'000;
  uint32_t own_tokens = 300;
  uint32_t output_tokens = 100;
  int priority = 0;
  Duration objective = std::chrono::seconds(1);  // until the first token
  double hot_share = 0;  // of its chats, on one document while it is hot

  friend auto operator<=>(const ChatClass&, const ChatClass&) = default;
};

// A stretch of time, from its begin on.
struct Span {
  Duration begin{};
  Duration length{};

  bool Contains(Duration time) const {
    return time >= begin && time < begin + length;
  }
  friend auto operator<=>(const Span&, const Span&) = default;
};

// A fleet, its load and what goes wrong, as a file describes it.
struct Scenario {
  std::string name;
  uint32_t gateways = 8;
  uint32_t engines = 16;
  uint32_t zones = 3;
  Duration length = std::chrono::seconds(30);
  EngineSpeed speed;
  std::vector<ChatClass> classes;
  Span hot;    // in which documents are hot
  Span burst;  // in which more chats come
  double burst_multiple = 1;
  uint32_t slow_engines = 0;
  double slowness = 1;     // of those
  Span crash;              // at whose begin engines lose their caches
  double crash_share = 0;  // of the engines

  // Sections: [fleet], [engine], [trouble] and a [class NAME] for each class.
  static Result<Scenario> Parse(const std::string& text,
                                const std::string& source);
  static Result<Scenario> Load(const std::string& file_name);
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_SCENARIO_H_
