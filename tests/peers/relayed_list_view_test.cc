#include "libteaselthread/peers/relayed_list_view.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

#include "gateway/gateway_fixtures.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

constexpr Duration kMaxAge = milliseconds(1'240);

StoreChange ChangeOf(const std::string& name) {
  return {name, false, test::MakeEngineRecord(name, "a")};
}

ChangeBatchPart WholeBatch(uint64_t from, uint64_t to) {
  return {{from, to, {ChangeOf("e-1")}}, 0, 1};
}

struct ViewFixture {
  RelayedListView view{kMaxAge};
};

BOOST_FIXTURE_TEST_SUITE(a_node_that_has_read_a_list, ViewFixture)

BOOST_AUTO_TEST_CASE(applies_relayed_changes_that_follow_what_it_knows) {
  view.OnList(10);
  BOOST_TEST(view.OnRelayedPart(WholeBatch(10, 14)).has_value());
  BOOST_TEST(view.revision() == 14u);
  BOOST_TEST(view.OnRelayedPart(WholeBatch(14, 16)).has_value());
  BOOST_TEST(view.revision() == 16u);
}

// Regression test: two hunted days on which a zone leader had been cut off and
// relayed all that it had missed. Its zone knew most of it; an endpoint that
// had been removed came back and got requests.
BOOST_AUTO_TEST_CASE(ignores_changes_that_overlap_with_what_it_knows) {
  view.OnList(10);
  BOOST_TEST(!view.OnRelayedPart(WholeBatch(5, 14)).has_value());
  BOOST_TEST(!view.OnChanges(5, 14, true));
  BOOST_TEST(view.revision() == 10u);
}

BOOST_AUTO_TEST_CASE(ignores_changes_after_a_gap_and_old_ones) {
  view.OnList(10);
  BOOST_TEST(!view.OnRelayedPart(WholeBatch(11, 14)).has_value());
  BOOST_TEST(!view.OnRelayedPart(WholeBatch(5, 10)).has_value());
  BOOST_TEST(view.revision() == 10u);
}

BOOST_AUTO_TEST_CASE(ignores_a_list_that_is_older_than_what_it_knows) {
  view.OnList(10);
  view.OnRelayedPart(WholeBatch(10, 14));
  BOOST_TEST(!view.OnList(12));
  BOOST_TEST(view.revision() == 14u);
}

BOOST_AUTO_TEST_CASE(needs_no_watch_for_some_time) {
  view.OnConfirmed(At(seconds(1)));
  view.OnList(10);
  BOOST_TEST(view.IsInformed(At(milliseconds(2'200))));
  BOOST_TEST(!view.IsInformed(At(milliseconds(2'240))));
}

BOOST_AUTO_TEST_CASE(ignores_everything_before_the_list) {
  BOOST_TEST(!view.OnRelayedPart(WholeBatch(0, 14)).has_value());
  view.OnLeaderStatus({0, 14, Duration::zero()}, At(seconds(1)));
  BOOST_TEST(view.revision() == 0u);
  BOOST_TEST(!view.IsInformed(At(seconds(1))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_status_of_the_zone_leader, ViewFixture)

BOOST_AUTO_TEST_CASE(informs_a_node_until_it_is_too_old) {
  view.OnList(10);
  view.OnLeaderStatus({10, 20, milliseconds(500)}, At(seconds(1)));
  BOOST_TEST(view.revision() == 20u);
  BOOST_TEST(view.IsInformed(At(milliseconds(1'700))));
  BOOST_TEST(!view.IsInformed(At(milliseconds(1'740))));
}

BOOST_AUTO_TEST_CASE(does_not_advance_a_node_that_has_missed_a_change) {
  view.OnList(10);
  view.OnLeaderStatus({11, 20, Duration::zero()}, At(seconds(1)));
  BOOST_TEST(view.revision() == 10u);
}

BOOST_AUTO_TEST_CASE(is_that_of_the_node_which_takes_over) {
  view.OnList(10);
  view.OnRelayedPart(WholeBatch(10, 14));
  view.OnLeaderStatus({14, 30, Duration::zero()}, At(seconds(1)));
  view.OnChanges(30, 32, false);
  BOOST_TEST((view.StatusAt(seconds(1)) == ListStatus{14, 32, seconds(1)}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_batch_in_several_datagrams)

BOOST_AUTO_TEST_CASE(is_put_together_in_any_order) {
  ChangeBatch batch{3, 40, {}};
  for (int i = 0; i < 20; ++i)
    batch.changes.push_back(ChangeOf("e-" + std::to_string(i)));
  std::vector<ChangeBatchPart> parts = SplitIntoParts(batch);
  BOOST_REQUIRE(parts.size() == 3u);
  std::swap(parts[0], parts[2]);
  ChangeAssembler assembler;
  BOOST_TEST(!assembler.Add(parts[0]));
  BOOST_TEST(!assembler.Add(parts[0]));
  BOOST_TEST(!assembler.Add(parts[1]));
  const std::optional<ChangeBatch> whole = assembler.Add(parts[2]);
  BOOST_REQUIRE(whole.has_value());
  BOOST_TEST((*whole == batch));
}

BOOST_AUTO_TEST_CASE(is_dropped_if_another_one_begins) {
  ChangeBatch batch{3, 40, {}};
  for (int i = 0; i < 20; ++i)
    batch.changes.push_back(ChangeOf("e-" + std::to_string(i)));
  const std::vector<ChangeBatchPart> parts = SplitIntoParts(batch);
  ChangeAssembler assembler;
  assembler.Add(parts[0]);
  BOOST_TEST(assembler.Add(WholeBatch(40, 41)).has_value());
  BOOST_TEST(!assembler.Add(parts[1]));
  BOOST_TEST(!assembler.Add(parts[2]));
}

BOOST_AUTO_TEST_CASE(is_ignored_if_its_numbers_make_no_sense) {
  ChangeAssembler assembler;
  ChangeBatchPart part = WholeBatch(1, 2);
  part.count = 0;
  BOOST_TEST(!assembler.Add(part));
  part.count = 4'000'000'000;
  BOOST_TEST(!assembler.Add(part));
  part.count = 1;
  part.index = 1;
  BOOST_TEST(!assembler.Add(part));
}

BOOST_AUTO_TEST_SUITE_END()

// A store that keeps its whole history, and nodes that learn of its changes
// from it and from each other.
class RelaySimulation {
 public:
  explicit RelaySimulation(uint32_t seed) : random_(seed), nodes_(4) {}

  void Step() {
    (this->*kSteps[random_() % std::size(kSteps)])();
    CheckNodes();
  }
  void AskStoreEverywhere() {
    for (Node& node : nodes_)
      Ask(node);
    for (const Node& node : nodes_)
      BOOST_REQUIRE((node.content == states_.back()));
  }

 private:
  // The names in the list and the start times of their endpoints.
  using Content = std::map<std::string, uint64_t>;
  struct Node {
    RelayedListView view{kMaxAge};
    Content content;
    uint64_t highest_revision = 0;
  };

  Node& AnyNode() { return nodes_[random_() % nodes_.size()]; }

  void ChangeStore() {
    Content next = states_.back();
    // Some revisions belong to other lists.
    if (random_() % 3 != 0) {
      const std::string name = "e-" + std::to_string(random_() % 5);
      StoreChange change{name, random_() % 3 == 0, std::nullopt};
      if (!change.removed) {
        change.endpoint = test::MakeEngineRecord(name, "a");
        change.endpoint->started_at_ms = states_.size();
      }
      Apply({change}, &next);
      history_[states_.size()] = change;
    }
    states_.push_back(std::move(next));
  }

  static void Apply(const std::vector<StoreChange>& changes, Content* content) {
    for (const StoreChange& change : changes) {
      if (change.endpoint)
        (*content)[change.name] = change.endpoint->started_at_ms;
      else
        content->erase(change.name);
    }
  }

  std::vector<StoreChange> ChangesAfter(uint64_t from, uint64_t to) const {
    std::vector<StoreChange> changes;
    for (auto item = history_.upper_bound(from);
         item != history_.end() && item->first <= to; ++item) {
      changes.push_back(item->second);
    }
    return changes;
  }

  void List() {
    Node& node = AnyNode();
    // The store may respond with an old state.
    const uint64_t revision = 1 + random_() % states_.size();
    if (revision < states_.size() && node.view.OnList(revision))
      node.content = states_[revision];
  }

  void AskOne() { Ask(AnyNode()); }

  // A watch call whose response takes its time: what it says may be old.
  void Ask(Node& node) {
    const uint64_t newest = states_.size() - 1;
    if (node.view.revision() == 0) {
      if (node.view.OnList(newest))
        node.content = states_[newest];
      return;
    }
    Receive(node, node.view.revision(), newest);
  }

  void Receive(Node& node, uint64_t from, uint64_t to) {
    const std::vector<StoreChange> changes = ChangesAfter(from, to);
    if (node.view.OnChanges(from, to, !changes.empty()))
      Apply(changes, &node.content);
  }

  // A node that takes itself for the leader asks the store and relays.
  void Lead() {
    Node& leader = AnyNode();
    const uint64_t from = leader.view.revision();
    const uint64_t to = states_.size() - 1;
    if (from == 0 || from >= to)
      return;
    ChangeBatch batch{from, to, ChangesAfter(from, to)};
    Receive(leader, from, to);
    if (batch.changes.empty())
      return;
    for (size_t node = 0; node < nodes_.size(); ++node) {
      for (const ChangeBatchPart& part : SplitIntoParts(batch))
        in_flight_.emplace_back(node, part);
    }
  }

  void SendStatus() {
    const Node& leader = AnyNode();
    if (leader.view.revision() == 0)
      return;
    AnyNode().view.OnLeaderStatus(leader.view.StatusAt(Duration::zero()),
                                  At(seconds(1)));
  }

  // Any datagram may arrive next; some arrive twice, some never.
  void Deliver() {
    if (in_flight_.empty())
      return;
    const size_t index = random_() % in_flight_.size();
    const auto [node, part] = in_flight_[index];
    const uint32_t fate = random_() % 10;
    if (fate != 0)
      in_flight_.erase(in_flight_.begin() + static_cast<ptrdiff_t>(index));
    if (fate == 1)
      return;
    if (const auto batch = nodes_[node].view.OnRelayedPart(part))
      Apply(batch->changes, &nodes_[node].content);
  }

  void Restart() {
    if (random_() % 10 == 0)
      AnyNode() = Node();
  }

  void CheckNodes() {
    for (Node& node : nodes_) {
      BOOST_REQUIRE(node.view.revision() >= node.highest_revision);
      node.highest_revision = node.view.revision();
      if (node.view.revision() > 0)
        BOOST_REQUIRE((node.content == states_[node.view.revision()]));
    }
  }

  static constexpr void (RelaySimulation::*kSteps[])() = {
      &RelaySimulation::ChangeStore, &RelaySimulation::ChangeStore,
      &RelaySimulation::List,        &RelaySimulation::AskOne,
      &RelaySimulation::Lead,        &RelaySimulation::Lead,
      &RelaySimulation::SendStatus,  &RelaySimulation::Deliver,
      &RelaySimulation::Deliver,     &RelaySimulation::Deliver,
      &RelaySimulation::Restart};

  std::mt19937 random_;
  std::vector<Node> nodes_;
  std::vector<Content> states_{{}, {}};  // by revision; the first one is 1
  std::map<uint64_t, StoreChange> history_;
  std::vector<std::pair<size_t, ChangeBatchPart>> in_flight_;
};

BOOST_AUTO_TEST_SUITE(nodes_that_relay_changes)

// Datagrams are lost, doubled and delayed, lists are old, and any node may take
// itself for the leader.
BOOST_AUTO_TEST_CASE(always_have_the_list_as_of_the_revision_they_know) {
  for (uint32_t seed = 0; seed < 500; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RelaySimulation simulation(seed);
      for (int step = 0; step < 400; ++step)
        simulation.Step();
      simulation.AskStoreEverywhere();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
