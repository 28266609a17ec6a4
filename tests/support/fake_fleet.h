#ifndef TEASELTHREAD_TESTS_SUPPORT_FAKE_FLEET_H_
#define TEASELTHREAD_TESTS_SUPPORT_FAKE_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "libteaselthread/admission_controller.h"
#include "libteaselthread/router.h"

namespace teaselthread::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

Timestamp At(Duration since_start);
Member MakeMember(int number, const std::string& zone);
Endpoint MakeEngine(const std::string& name, const std::string& zone);
Endpoint MakeService(const std::string& name, const std::string& zone);

// A configuration document with the profiles "chat" and "order", the service
// "desk" and the model "dossier" with the given policy.
std::string DocumentWithModel(const std::string& model_policy);

// The state and decision logic of one node, without any I/O.
struct FakeNode {
  FakeNode(const Member& self,
           std::vector<Endpoint> endpoints,
           std::vector<std::string> seeds = {});

  FleetView fleet() const {
    return {&membership, &configuration, &directory, &loads};
  }
  // Applies a document as the next configuration version.
  void Configure(const std::string& text);
  // Makes all nodes members of each other's view, as if they had exchanged
  // heartbeats at `now`.
  static void ExchangeHeartbeats(const std::vector<FakeNode*>& nodes,
                                 Timestamp now);

  Membership membership;
  ConfigurationHolder configuration;
  EndpointDirectory directory;
  LoadTable loads;
  AdmissionController admission;
  Router router;
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_SUPPORT_FAKE_FLEET_H_
