#include "libteaselthread/requests/retry_budget.h"

#include <algorithm>

namespace teaselthread {

void RetryBudget::OnRequest() {
  tokens_ = std::min(tokens_ + kTokensPerRequest, kMaxTokens);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

}  // namespace teaselthread
