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

// "[profile chat]" and "[profile order]", model "dossier" with the given
// policy, and service "desk".
std::string DocumentWithModel(const std::string& model_policy);

// The state that one node decides from, without any I/O.
struct FakeNode {
  FakeNode(const Member& self,
           std::vector<Endpoint> endpoints,
           std::vector<std::string> seeds = {});

  FleetView fleet() const {
    return {&membership, &configuration, &directory, &loads};
  }
  // Puts a document with the next version in force.
  void Configure(const std::string& text);
  // Makes the members know each other, as heartbeats at `now` would.
  static void Introduce(const std::vector<FakeNode*>& nodes, Timestamp now);

  Membership membership;
  ConfigurationHolder configuration;
  EndpointDirectory directory;
  LoadTable loads;
  AdmissionController admission;
  Router router;
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_SUPPORT_FAKE_FLEET_H_
