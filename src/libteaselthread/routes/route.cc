#include "libteaselthread/routes/route.h"

namespace teaselthread {

bool Route::IsRepeatable() const {
  if (kind == RequestKind::kIdempotent)
    return true;
  return kind == RequestKind::kStreaming && is_resumable;
}

}  // namespace teaselthread
