#include "libteaselthread/membership/member.h"

namespace teaselthread {

bool Overrides(const Member& candidate, const Member& known) {
  if (candidate.generation != known.generation)
    return candidate.generation > known.generation;
  return candidate.status > known.status;
}

}  // namespace teaselthread
