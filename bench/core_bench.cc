// Measures memory, decision times and message sizes at the fleet size that the
// design targets. Prints one line per figure: name value unit.
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "libteaselthread/admission_controller.h"
#include "libteaselthread/membership/owner_index.h"
#include "libteaselthread/requests/idempotency_table.h"
#include "libteaselthread/router.h"
#include "teaselthread/peers/wire_conversion.h"

namespace teaselthread::bench {
namespace {

constexpr int kNodes = 410;
constexpr int kEndpoints = 3'200;
constexpr int kModels = 23;
constexpr int kCustomers = 480;
constexpr int kZones = 7;
constexpr int kProfiles = 40;

void Print(const std::string& name, double value, const std::string& unit) {
  std::cout << name << " " << value << " " << unit << std::endl;
}

double MicrosecondsPerCall(int calls,
                           const std::function<void(int)>& operation) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i)
    operation(i);
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / calls;
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  file >> total_pages >> resident_pages;
  constexpr double kPageBytes = 4'096;
  return resident_pages * kPageBytes;
}

std::string ZoneOf(int number) {
  return "region-" + std::to_string(number % 3) + "-zone-" +
         std::to_string(number % kZones);
}

Member MakeMember(int number) {
  Member member;
  member.name = "entry-" + std::to_string(number);
  member.incarnation = Incarnation(0x9e3779b97f4a7c15ull * (number + 1));
  member.zone = ZoneOf(number);
  member.peer_address = "10.20." + std::to_string(number / 250) + "." +
                        std::to_string(number % 250) + ":9000";
  member.caller_address = member.peer_address;
  member.generation = 1'796'000'000'000'000 + number;
  return member;
}

std::vector<Endpoint> MakeEndpoints() {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < kEndpoints; ++i) {
    endpoints.push_back({"worker-" + std::to_string(i),
                         ZoneOf(i),
                         {"10.30.0.1", 9000},
                         EndpointKind::kModelEngine,
                         {"model-" + std::to_string(i % kModels)},
                         false});
  }
  return endpoints;
}

std::string MakeDocument() {
  std::string text;
  for (int i = 0; i < kProfiles; ++i) {
    text += "[profile profile-" + std::to_string(i) +
            "]\npriority = 3\ndeadline_ms = 60000\nrepeatable = yes\n";
  }
  for (int i = 0; i < kModels; ++i) {
    text += "[model model-" + std::to_string(i) +
            "]\nload_multiple = 1.4\nslots = 128\ncold_concurrency = 2\n";
  }
  for (int i = 0; i < kCustomers; ++i) {
    text += "[customer customer-" + std::to_string(i) +
            "]\nrequests_per_second = 100\nconcurrency = 400\n";
  }
  return text + "[fleet]\nzones_out = region-0-zone-9\n";
}

struct FleetState {
  FleetState() : membership(MakeMember(0), {}, kTiming, 1) {
    for (int i = 1; i < kNodes; ++i)
      membership.OnContact(MakeMember(i), {}, now);
    configuration.UpdateIfNewer(1, MakeDocument());
    directory.Replace(1, MakeEndpoints());
    for (const auto& [name, endpoint] : directory.all()) {
      loads.Merge({name, "entry-1", 70, EndpointTemperature::kWarm,
                   1'796'000'000'000'000},
                  now);
    }
  }
  FleetView fleet() const {
    return {&membership, &configuration, &directory, &loads};
  }

  static constexpr MembershipTiming kTiming{std::chrono::seconds(3),
                                            std::chrono::milliseconds(2'500)};
  Timestamp now{std::chrono::seconds(1'000)};
  Membership membership;
  ConfigurationHolder configuration;
  EndpointDirectory directory;
  LoadTable loads;
};

void MeasureMemory() {
  const double before = ResidentBytes();
  FleetState state;
  Print("state_of_fleet_view", (ResidentBytes() - before) / 1e6, "MB");
  constexpr int kKeys = 100'000;
  IdempotencyTable table(
      Incarnation(1),
      {kKeys, 16 << 20, std::chrono::seconds(600), WallSeconds(86'400)});
  const Ticket ticket(Incarnation(1), WallSeconds(1'000), 7);
  const double empty = ResidentBytes();
  const double begin_us = MicrosecondsPerCall(kKeys, [&](int i) {
    const std::string key = ticket.ToString() + "-" + std::to_string(i);
    table.Begin("customer-1", key, 1, WallSeconds(1'000), state.now);
    table.Complete("customer-1", key, {200, "", ""}, state.now);
  });
  Print("idempotency_key", (ResidentBytes() - empty) / kKeys, "bytes");
  Print("idempotency_begin_and_complete", begin_us, "us");
}

void MeasureDecisions(FleetState& state) {
  const Router router(state.fleet());
  Print("place_one_request",
        MicrosecondsPerCall(2'000,
                            [&](int i) {
                              router.Place(
                                  {EndpointKind::kModelEngine,
                                   "model-" + std::to_string(i % kModels),
                                   "customer/chat-" + std::to_string(i),
                                   "",
                                   {},
                                   {}},
                                  state.now);
                            }),
        "us");
  AdmissionController admission(
      state.fleet(), &state.loads,
      {std::chrono::milliseconds(2'500), std::chrono::seconds(2)}, 0);
  Print("follow_ownership_after_a_member_change",
        MicrosecondsPerCall(1, [&](int) { admission.Tick(state.now); }) / 1e3,
        "ms");
  Print("owned_endpoints", admission.OwnedEndpoints().size(), "endpoints");
  Print("admission_tick",
        MicrosecondsPerCall(2'000, [&](int) { admission.Tick(state.now); }),
        "us");
  const std::string endpoint_name = admission.OwnedEndpoints().front();
  const Timestamp later = state.now + std::chrono::seconds(2);
  Print("admit_and_end_one_request",
        MicrosecondsPerCall(
            2'000,
            [&](int i) {
              admission.Submit(endpoint_name,
                               {static_cast<CallId>(i) + 1, "c", 0, later, {}},
                               state.now);
              admission.End(endpoint_name, static_cast<CallId>(i) + 1,
                            state.now);
            }),
        "us");
  Print("good_standing",
        MicrosecondsPerCall(
            10'000,
            [&](int) { (void)state.membership.InGoodStanding(state.now); }),
        "us");
  Print("membership_tick",
        MicrosecondsPerCall(2'000,
                            [&](int) {
                              (void)state.membership.Tick(state.now);
                              (void)state.membership.PickUpdates();
                            }),
        "us");
}

void MeasureMessages(FleetState& state) {
  wire::HeartbeatMessage heartbeat;
  *heartbeat.mutable_sender() = ToWire(state.membership.self());
  heartbeat.set_configuration_version(1'000'000);
  heartbeat.set_endpoints_version(1'000'000);
  Print("heartbeat_without_news", heartbeat.ByteSizeLong(), "bytes");
  wire::MemberUpdate update = ToWire(MakeMember(1));
  Print("member_update", update.ByteSizeLong(), "bytes");
  const EndpointLoad load{"worker-1234", "entry-123", 70,
                          EndpointTemperature::kWarm, 1'796'000'000'000'000};
  Print("load_report", ToWire(load).ByteSizeLong(), "bytes");
  wire::EndpointList list;
  for (const auto& [name, endpoint] : state.directory.all())
    *list.add_endpoints() = ToWire(endpoint);
  Print("endpoint_list", list.ByteSizeLong() / 1e3, "KB");
  const std::string document = MakeDocument();
  Print("configuration_document", document.size() / 1e3, "KB");
  Print("configuration_parse",
        MicrosecondsPerCall(
            20,
            [&](int) { (void)Configuration::Parse(document, "document", 2); }) /
            1e3,
        "ms");
  Print("endpoint_list_replace",
        MicrosecondsPerCall(20,
                            [&](int i) {
                              state.directory.Replace(
                                  static_cast<uint64_t>(i) + 2,
                                  MakeEndpoints());
                            }) /
            1e3,
        "ms");
}

}  // namespace

void Run() {
  MeasureMemory();
  FleetState state;
  MeasureDecisions(state);
  MeasureMessages(state);
}

}  // namespace teaselthread::bench

int main() {
  teaselthread::bench::Run();
  return 0;
}
