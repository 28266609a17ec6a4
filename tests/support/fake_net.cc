#include "support/fake_net.h"

namespace teaselthread::test {
namespace {

constexpr size_t kLoadsPerHeartbeat = 4;

void Deliver(FakeNode& from, FakeNode& to, Timestamp now) {
  to.membership.OnContact(from.membership.self(), from.membership.PickUpdates(),
                          now);
  for (const std::string& name : from.admission.OwnedEndpoints()) {
    if (const EndpointLoad* load = from.loads.Find(name))
      to.loads.Merge(*load, now);
  }
  for (const EndpointLoad& load : from.loads.PickForPeer(kLoadsPerHeartbeat))
    to.loads.Merge(load, now);
}

}  // namespace

FakeNet::FakeNet(int size,
                 const std::vector<std::string>& zones,
                 const std::vector<Endpoint>& endpoints) {
  for (int i = 1; i <= size; ++i) {
    const std::string& zone = zones[(i - 1) % zones.size()];
    nodes_.emplace_back(MakeMember(i, zone), endpoints,
                        std::vector{MakeMember(1, "").peer_address});
  }
}

int FakeNet::NumberOf(const std::string& name) const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const Member& self = nodes_[i].membership.self();
    if (self.name == name || self.peer_address == name)
      return static_cast<int>(i) + 1;
  }
  return 0;
}

void FakeNet::RunFor(Duration duration,
                     const std::function<void()>& on_interval) {
  for (const Timestamp end = now_ + duration; now_ < end; now_ += kInterval) {
    for (int number = 1; number <= size(); ++number) {
      Tick(number);
      (*this)[number].admission.Tick(now_);
      HandOver(number);
    }
    if (on_interval)
      on_interval();
  }
}

bool FakeNet::Exchange(int from, int to) {
  if (!CanReach(from, to))
    return false;
  Deliver((*this)[from], (*this)[to], now_);
  Deliver((*this)[to], (*this)[from], now_);
  return true;
}

void FakeNet::Tick(int number) {
  Membership& self = (*this)[number].membership;
  for (const SendHeartbeat& heartbeat : self.Tick(now_)) {
    const int target = NumberOf(heartbeat.address);
    if (Exchange(number, target) || heartbeat.name.empty())
      continue;
    for (const SendProbe& probe :
         self.OnHeartbeatFailed(heartbeat.name, now_)) {
      const int relay = NumberOf(probe.via_address);
      const bool reached = CanReach(number, relay) && Exchange(relay, target);
      self.OnProbeResult(probe.target, reached, now_);
    }
  }
}

void FakeNet::HandOver(int number) {
  FakeNode& node = (*this)[number];
  for (const RequestHandOver& request : node.admission.PendingHandOvers()) {
    const int previous = NumberOf(request.previous_owner);
    if (previous == number || !CanReach(number, previous))
      continue;
    const HandOverResult answer = (*this)[previous].admission.HandOver(
        request.endpoint, node.membership.self().name, now_);
    node.admission.OnHandedOver(request.endpoint, request.previous_owner,
                                answer, now_);
  }
}

}  // namespace teaselthread::test
