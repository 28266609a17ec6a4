#include "libteaselthread/attempts/silence_decision.h"

namespace teaselthread {

std::string_view ToString(SilenceDecision decision) {
  constexpr std::string_view kNames[kSilenceDecisionCount] = {
      "abandon",        "no-attempt-left", "stale-configuration",
      "blocked-prompt", "no-endpoint",     "retry-limit"};
  return kNames[static_cast<size_t>(decision)];
}

}  // namespace teaselthread
