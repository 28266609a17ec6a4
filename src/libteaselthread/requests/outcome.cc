#include "libteaselthread/requests/outcome.h"

namespace teaselthread {

Outcome UnsentCall::Refuse(RefusalReason reason, Duration retry_after) && {
  return Outcome(RefusedNotRun{reason, retry_after});
}

PossiblySentCall UnsentCall::MarkPossiblySent() && {
  return PossiblySentCall();
}

Outcome PossiblySentCall::Answer() && {
  return Outcome(Answered{});
}

Outcome PossiblySentCall::MarkUnknown(UnknownReason reason) && {
  return Outcome(MayHaveRun{reason});
}

UnsentCall PossiblySentCall::ConfirmUnsent(
    const RefusedNotRun& /*statement*/) && {
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
