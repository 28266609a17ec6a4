// Example of embedding libteaselthread: an idempotency table that runs each
// order at most once, and a router that places a chat on the same endpoint
// every time.
#include <iostream>

#include "libteaselthread/requests/idempotency_table.h"
#include "libteaselthread/router.h"

namespace {

using namespace std::chrono_literals;
namespace tt = teaselthread;

constexpr tt::Incarnation kSelf(42);
constexpr tt::WallSeconds kWall(1'796'000'000);

std::string RunOrder(tt::IdempotencyTable& table, const std::string& key) {
  const tt::Timestamp now{};
  const tt::KeyDecision decision = table.Begin("shop", key, 1, kWall, now);
  if (decision.verdict == tt::KeyVerdict::kReplay)
    return "stored response: " + decision.answer->body;
  if (decision.verdict != tt::KeyVerdict::kRun)
    return "not now";
  table.Complete("shop", key, {200, "text/plain", "order 1 placed"}, now);
  return "ran";
}

std::string PlaceChat(const std::string& chat) {
  const tt::Timestamp now{};
  tt::Member self;
  self.name = "node-1";
  self.zone = "lhr-a";
  tt::Membership membership(self, {}, {3s, 2500ms}, 1);
  tt::ConfigurationHolder configuration;
  configuration.UpdateIfNewer(1, "[profile chat]\n[model catalogue]\n");
  tt::EndpointDirectory directory;
  directory.Replace(1, {{"engine-1", "lhr-a", {}, {}, {"catalogue"}, false},
                        {"engine-2", "lhr-b", {}, {}, {"catalogue"}, false}});
  const tt::LoadTable loads;
  const tt::Router router({&membership, &configuration, &directory, &loads});
  const auto placed = router.Place(
      {tt::EndpointKind::kModelEngine, "catalogue", chat, "", {}, {}}, now);
  const auto* placement = std::get_if<tt::Placement>(&placed);
  return placement ? placement->endpoint : "refused";
}

}  // namespace

int main() {
  tt::IdempotencyTable table(kSelf, {1'000, 1 << 20, 600s, 3'600s});
  const std::string key = tt::Ticket(kSelf, kWall, 7).ToString() + "-1";
  const std::string first = RunOrder(table, key);
  const std::string second = RunOrder(table, key);
  std::cout << "first: " << first << "\nsecond: " << second << "\n";
  const std::string endpoint = PlaceChat("buyer-7");
  std::cout << "chat: " << endpoint << ", again: " << PlaceChat("buyer-7")
            << "\n";
  const bool as_expected = first == "ran" &&
                           second == "stored response: order 1 placed" &&
                           endpoint == PlaceChat("buyer-7");
  return as_expected ? 0 : 1;
}
