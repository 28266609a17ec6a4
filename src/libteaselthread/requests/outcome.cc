#include "libteaselthread/requests/outcome.h"

namespace teaselthread {

Outcome UnsentCall::Refuse(RefusalReason reason, Duration retry_after) && {
  return Outcome(RefusedNotRun{reason, retry_after});
}

ExposedCall UnsentCall::Expose() && {
  return ExposedCall();
}

Outcome ExposedCall::Answer() && {
  return Outcome(Answered{});
}

Outcome ExposedCall::LoseTrack(UnknownReason reason) && {
  return Outcome(MayHaveRun{reason});
}

UnsentCall ExposedCall::ConfirmUnsent(const RefusedNotRun& /*statement*/) && {
  return UnsentCall();
}

std::string Describe(const Outcome& outcome) {
  if (const RefusedNotRun* refused = outcome.refused())
    return "not run: " + std::string(ToString(refused->reason));
  if (const MayHaveRun* unknown = outcome.may_have_run())
    return "may have run: " + std::string(ToString(unknown->reason));
  return "answered";
}

}  // namespace teaselthread
