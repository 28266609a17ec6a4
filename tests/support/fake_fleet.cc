#include "support/fake_fleet.h"

namespace teaselthread::test {
namespace {

constexpr MembershipTiming kMembershipTiming{seconds(3), milliseconds(2'500)};
constexpr AdmissionTiming kAdmissionTiming{milliseconds(2'500), seconds(2)};

}  // namespace

Timestamp At(Duration since_start) {
  return Timestamp(seconds(1'000) + since_start);
}

Member MakeMember(int number, const std::string& zone) {
  Member member;
  member.name = "entry-" + std::to_string(number);
  member.incarnation = Incarnation(static_cast<uint64_t>(number));
  member.zone = zone;
  member.peer_address = "192.0.2." + std::to_string(number) + ":9000";
  member.caller_address = "192.0.2." + std::to_string(number) + ":8000";
  member.generation = 1;
  return member;
}

Endpoint MakeEngine(const std::string& name, const std::string& zone) {
  return {name,        zone, {"192.0.2.200", 7000}, EndpointKind::kModelEngine,
          {"dossier"}, false};
}

Endpoint MakeService(const std::string& name, const std::string& zone) {
  return {name,     zone, {"192.0.2.201", 7000}, EndpointKind::kService,
          {"desk"}, false};
}

std::string DocumentWithModel(const std::string& model_policy) {
  return "[profile chat]\n[profile order]\nrepeatable = no\n[service desk]\n"
         "[model dossier]\n" +
         model_policy;
}

FakeNode::FakeNode(const Member& self,
                   std::vector<Endpoint> endpoints,
                   std::vector<std::string> seeds)
    : membership(self,
                 std::move(seeds),
                 kMembershipTiming,
                 self.incarnation.value()),
      admission(fleet(), &loads, kAdmissionTiming, 0),
      router(fleet()) {
  directory.Replace(1, std::move(endpoints));
  Configure(DocumentWithModel("slots = 8\nramp_ms = 0\n"));
}

void FakeNode::Configure(const std::string& text) {
  configuration.UpdateIfNewer(configuration.version() + 1, text);
}

void FakeNode::ExchangeHeartbeats(const std::vector<FakeNode*>& nodes,
                                  Timestamp now) {
  for (FakeNode* node : nodes) {
    for (const FakeNode* peer : nodes)
      node->membership.OnContact(peer->membership.self(), {}, now);
  }
}

}  // namespace teaselthread::test
