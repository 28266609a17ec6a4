#include "libteaselthread/membership/membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "libteaselthread/membership/owner_index.h"
#include "support/fake_net.h"

namespace teaselthread {
namespace {

using std::chrono::seconds;

constexpr Duration kInterval = test::FakeNet::kInterval;

// Members in two zones that share one seed.
class HeartbeatNet : public test::FakeNet {
 public:
  explicit HeartbeatNet(int size) : FakeNet(size, {"a", "b"}, {}) {}
  Membership& operator[](int number) {
    return FakeNet::operator[](number).membership;
  }
};

BOOST_AUTO_TEST_SUITE(nodes_discover_each_other)

BOOST_AUTO_TEST_CASE(from_one_seed) {
  HeartbeatNet net(8);
  net.RunFor(seconds(5));
  for (int i = 1; i <= 8; ++i) {
    BOOST_TEST(net[i].serving().size() == 8u);
    BOOST_TEST(net[i].InGoodStanding(net.now()));
  }
}

BOOST_AUTO_TEST_CASE(
    a_node_without_contact_to_any_peer_is_not_in_good_standing) {
  HeartbeatNet net(3);
  net.Isolate(2);
  net.RunFor(seconds(5));
  BOOST_TEST(!net[2].InGoodStanding(net.now()));
}

BOOST_AUTO_TEST_SUITE(and_detect_failures)

BOOST_AUTO_TEST_CASE(
    a_node_that_is_cut_off_fences_itself_before_peers_declare_it_dead) {
  HeartbeatNet net(8);
  net.RunFor(seconds(5));
  net.Isolate(3);
  const Timestamp cut_at = net.now();
  Timestamp fenced_at{};
  Timestamp first_death{};
  while (net.now() < cut_at + seconds(30)) {
    net.RunFor(kInterval);
    if (fenced_at == Timestamp{} && !net[3].InGoodStanding(net.now()))
      fenced_at = net.now();
    for (int i = 1; i <= 8 && first_death == Timestamp{}; ++i) {
      const Member* member = i == 3 ? nullptr : net[i].Find("entry-3");
      if (member && member->status == MemberStatus::kDead)
        first_death = net.now();
    }
  }
  BOOST_TEST((fenced_at > cut_at));
  BOOST_TEST((first_death >= fenced_at));
  for (int i = 1; i <= 8; ++i) {
    if (i != 3)
      BOOST_TEST((net[i].Find("entry-3")->status == MemberStatus::kDead));
  }
  BOOST_TEST((first_death - cut_at <= seconds(8)));
}

BOOST_AUTO_TEST_CASE(a_node_that_reconnects_refutes_its_death) {
  HeartbeatNet net(8);
  net.RunFor(seconds(5));
  net.Isolate(3);
  net.RunFor(seconds(20));
  net.Restore(3);
  net.RunFor(seconds(20));
  for (int i = 1; i <= 8; ++i)
    BOOST_TEST(net[i].serving().size() == 8u);
}

BOOST_AUTO_TEST_CASE(
    a_replacement_with_the_same_name_overrides_the_previous_process) {
  HeartbeatNet net(3);
  net.RunFor(seconds(5));
  Member replacement = net[2].self();
  replacement.incarnation = Incarnation(99);
  replacement.generation = 1'000;
  net[1].OnContact(replacement, {}, net.now());
  BOOST_TEST(net[1].FindIncarnation(Incarnation(2)) == nullptr);
  BOOST_TEST(net[1].FindIncarnation(Incarnation(99)) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_dead_node_is_removed_once_its_lease_has_expired) {
  HeartbeatNet net(3);
  net.RunFor(seconds(5));
  net.Isolate(2);
  net.RunFor(seconds(20));
  net[1].OnPlatformList({net[2].self(), net[3].self()}, net.now());
  net[1].OnLeaseEnded(Incarnation(99));
  BOOST_TEST(net[1].Find("entry-2") != nullptr);
  net[1].OnLeaseEnded(net[3].self().incarnation);  // but it is alive
  BOOST_TEST(net[1].Find("entry-3") != nullptr);
  net[1].OnLeaseEnded(net[2].self().incarnation);
  BOOST_TEST(net[1].Find("entry-2") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_leaving_node_accepts_no_new_requests) {
  HeartbeatNet net(4);
  net.RunFor(seconds(5));
  net[2].BeginLeaving();
  net.RunFor(seconds(3));
  for (int i = 1; i <= 4; ++i)
    BOOST_TEST(net[i].serving().size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(every_endpoint_has_one_owner)

BOOST_AUTO_TEST_CASE(in_its_zone_if_possible_and_the_same_in_every_view) {
  HeartbeatNet net(8);
  net.RunFor(seconds(5));
  for (int i = 0; i < 40; ++i) {
    const Endpoint near = test::MakeEngine("engine-" + std::to_string(i), "a");
    const Endpoint far = test::MakeEngine("engine-" + std::to_string(i), "c");
    BOOST_TEST(OwnerIndex(&net[1]).OwnerOf(near)->zone == "a");
    for (int node = 2; node <= 8; ++node) {
      BOOST_TEST(OwnerIndex(&net[node]).OwnerOf(near)->name ==
                 OwnerIndex(&net[1]).OwnerOf(near)->name);
      BOOST_TEST(OwnerIndex(&net[node]).OwnerOf(far)->name ==
                 OwnerIndex(&net[1]).OwnerOf(far)->name);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
