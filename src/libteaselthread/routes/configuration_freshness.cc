#include "libteaselthread/routes/configuration_freshness.h"

#include <algorithm>

namespace teaselthread {

void ConfigurationFreshness::OnConfirmed(Timestamp asked_at) {
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, asked_at) : asked_at;
}

void ConfigurationFreshness::OnConfirmedByPeer(Timestamp echoed_at,
                                               Duration age,
                                               Timestamp now) {
  if (echoed_at <= now && age >= Duration::zero())
    OnConfirmed(echoed_at - age);
}

bool ConfigurationFreshness::IsFresh(Timestamp now) const {
  return confirmed_at_ && now - *confirmed_at_ <= max_age_;
}

std::optional<Duration> ConfigurationFreshness::Age(Timestamp now) const {
  if (!confirmed_at_)
    return std::nullopt;
  return now - *confirmed_at_;
}

}  // namespace teaselthread
