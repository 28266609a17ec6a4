#include "libteaselthread/routes/configuration_freshness.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Until the check that finds the age too high, for a call on a new connection
// and for applying its response.
constexpr Duration kCallTime = milliseconds(500);
constexpr Duration kCallSpread = milliseconds(100);

}  // namespace

Duration ConfigurationFreshness::MaxUnconfirmedAge(Duration configuration_bound,
                                                   Duration revocation_bound,
                                                   double jitter) {
  const Duration spread(static_cast<Duration::rep>(
      static_cast<double>(kCallSpread.count()) * jitter));
  const Duration bound = std::min(configuration_bound, revocation_bound);
  return std::max(bound - kCallTime - spread, bound / 2);
}

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
