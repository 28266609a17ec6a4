#include "teaselthread/store/configuration_confirmation.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// By these times, this node's own watch normally delivers a version that a peer
// has announced.
constexpr MissedChangeDetector::Timeouts kTimeouts{
    .after_announcement = milliseconds(500),
    .after_call = milliseconds(800)};

}  // namespace

ConfigurationConfirmation::ConfigurationConfirmation(GatewayState* state)
    : state_(state), missed_(kTimeouts) {}

bool ConfigurationConfirmation::OnPeerVersion(uint64_t version) {
  if (version > missed_.newest_peer_revision())
    newest_heard_at_ = GatewayState::BootNow();
  missed_.OnPeerRevision(version, state_->Now());
  const bool is_newer =
      state_->routes() && version > state_->routes()->version();
  if (is_newer && state_->store_restoration().MayLackObjects(state_->Now()))
    Withdraw();
  return is_newer;
}

void ConfigurationConfirmation::OnStoreRestored(Timestamp reachable_until,
                                                Duration max_age) {
  const auto age = state_->configuration_freshness().Age(reachable_until);
  was_confirmed_when_restored_ = age && *age <= max_age;
}

bool ConfigurationConfirmation::OnResponse(Timestamp requested_at) {
  if (KnowsOfNewer()) {
    // If the store was asked after a peer had named the version, and does not
    // have it, it was restored from an older copy.
    if (requested_at >= newest_heard_at_)
      Withdraw();
    return false;
  }
  const bool is_shown_by_store =
      was_confirmed_when_restored_ ||
      !state_->store_restoration().MayLackObjects(state_->Now());
  if (!is_shown_by_store) {
    earlier_response_ = {requested_at, state_->Now()};
    return false;
  }
  state_->configuration_freshness().OnConfirmed(requested_at);
  return true;
}

bool ConfigurationConfirmation::ConfirmByEarlierResponse() {
  if (!earlier_response_ || state_->store_restoration().MayLackObjects(
                                earlier_response_->received_at))
    return false;
  const Response response = *earlier_response_;
  earlier_response_.reset();
  return !KnowsOfNewer() && OnResponse(response.requested_at);
}

bool ConfigurationConfirmation::KnowsOfNewer() const {
  return missed_.newest_peer_revision() > state_->routes()->version();
}

bool ConfigurationConfirmation::IsMissed(
    std::optional<Timestamp> waiting_since) const {
  return missed_.IsMissed(state_->routes()->version(), waiting_since,
                          state_->Now());
}

void ConfigurationConfirmation::Withdraw() {
  const auto age =
      state_->configuration_freshness().Age(GatewayState::BootNow());
  if (!age)
    return;
  state_->configuration_freshness().Withdraw();
  LogLine line("configuration-unconfirmed");
  line.Add("version", state_->routes()->version())
      .Add("heard", newest_peer_version())
      .AddTime("age", *age);
  state_->log().Warn(line);
}

}  // namespace teaselthread
