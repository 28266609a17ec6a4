#include "teaselthread/requests/request_exchange.h"

namespace teaselthread {

std::string_view ToString(HedgeOutcome outcome) {
  switch (outcome) {
    case HedgeOutcome::kWon:
      return "won";
    case HedgeOutcome::kLost:
      return "lost";
    case HedgeOutcome::kFailed:
      break;
  }
  return "failed";
}

}  // namespace teaselthread
