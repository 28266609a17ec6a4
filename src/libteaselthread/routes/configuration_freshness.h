#ifndef TEASELTHREAD_ROUTES_CONFIGURATION_FRESHNESS_H_
#define TEASELTHREAD_ROUTES_CONFIGURATION_FRESHNESS_H_

#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How long ago the node's configuration was last shown to be the newest. A
// key may have been taken away since, so requests with keys are refused once
// the proof is too old. Times are on a clock that counts suspension.
class ConfigurationFreshness {
 public:
  explicit ConfigurationFreshness(Duration max_age) : max_age_(max_age) {}

  // The store was asked at `asked_at`, and its answer shows that the
  // configuration held was the newest then.
  void OnConfirmed(Timestamp asked_at);

  // A node with the same configuration says that it was the newest `age`
  // before it sent a message. It sent that after it had received what this
  // node sent at `echoed_at`, so that neither clocks nor the time that the
  // message was under way need be known.
  void OnConfirmedByPeer(Timestamp echoed_at, Duration age, Timestamp now);

  bool IsFresh(Timestamp now) const;
  // Empty before the first proof.
  std::optional<Duration> Age(Timestamp now) const;

 private:
  Duration max_age_;
  std::optional<Timestamp> proved_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROUTES_CONFIGURATION_FRESHNESS_H_
