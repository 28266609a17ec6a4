#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/attempts/retry_after.h"
#include "libteaselthread/attempts/retry_allowance.h"
#include "libteaselthread/endpoints/cold_start_quota.h"
#include "libteaselthread/peers/peer_set.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

std::vector<std::string> Nodes(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i)
    names.push_back("node-" + std::to_string(i));
  return names;
}

BOOST_AUTO_TEST_SUITE(shares_of_a_cold_endpoints_limit)

BOOST_AUTO_TEST_CASE(add_up_to_the_limit_at_most) {
  for (const size_t count : {1u, 2u, 7u, 8u, 11u, 18u, 19u, 58u, 410u}) {
    const std::vector<std::string> nodes = Nodes(count);
    uint32_t total = 0;
    for (const std::string& node : nodes)
      total += ColdStartShare({20}, "engine-1", node, nodes);
    BOOST_TEST_CONTEXT(count << " nodes") {
      BOOST_TEST(total <= 20u);
      BOOST_TEST(total >= 10u);
    }
  }
}

BOOST_AUTO_TEST_CASE(do_so_even_if_nodes_know_different_peers) {
  std::mt19937_64 random(7);
  const std::vector<std::string> all = Nodes(58);
  for (int round = 0; round < 200; ++round) {
    uint32_t total = 0;
    for (const std::string& node : all) {
      std::vector<std::string> known;
      for (const std::string& other : all) {
        if (other == node || random() % 20 != 0)
          known.push_back(other);
      }
      total += ColdStartShare({20}, "engine-1", node, known);
    }
    BOOST_TEST(total <= 22u);
  }
}

// Regression test: a zone with 18 gateways lost power and restarted with cold
// endpoints. Seven of the restarted gateways each sent 2 requests per second to
// the same endpoint, because they assumed a fleet of 8 gateways until they had
// learned of the others.
BOOST_AUTO_TEST_CASE(do_so_while_the_nodes_of_a_zone_restart) {
  const std::vector<std::string> all = Nodes(58);
  for (const size_t restarted : {1u, 18u, 58u}) {
    uint32_t total = 0;
    for (size_t i = 0; i < all.size(); ++i) {
      PeerSet peers({all[i], "a", {}, {}, false}, seconds(1));
      if (i >= restarted) {
        for (const std::string& other : all)
          peers.OnRecord({other, "a", {}, {}, false}, At(seconds(0)));
        peers.OnRecordsRead(At(seconds(0)));
      }
      total += ColdStartShare({17.9}, "engine-1", all[i],
                              peers.NodesSharingLimits(At(seconds(9))));
    }
    BOOST_TEST_CONTEXT(restarted << " restarted") {
      BOOST_TEST(total <= 17u);
    }
  }
}

BOOST_AUTO_TEST_CASE(are_not_exceeded_in_any_second) {
  ColdStartQuota quota;
  std::vector<Timestamp> sends;
  for (int ms = 0; ms < 5'000; ms += 10) {
    if (!quota.Allows(2, At(milliseconds(ms))))
      continue;
    quota.OnSend(At(milliseconds(ms)));
    sends.push_back(At(milliseconds(ms)));
  }
  for (size_t i = 2; i < sends.size(); ++i)
    BOOST_TEST((sends[i] - sends[i - 2] > seconds(1)));
  BOOST_TEST(sends.size() >= 8u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(shares_of_the_retry_limit)

// Many endpoints fail, and seven nodes retry every failed request.
BOOST_AUTO_TEST_CASE(keep_the_total_of_all_nodes_within_it) {
  constexpr size_t kNodes = 7;
  const RetryLimit limit{0.2, 54, seconds(10)};
  std::vector<RetryAllowance> nodes(kNodes, RetryAllowance(limit));
  std::vector<int64_t> requests;
  std::vector<int64_t> retries;
  std::mt19937_64 random(11);
  for (int64_t ms = 0; ms < 60'000; ms += 10) {
    RetryAllowance& node = nodes[random() % kNodes];
    node.OnRequest(At(milliseconds(ms)));
    requests.push_back(ms);
    while (node.TryTake(kNodes, At(milliseconds(ms))))
      retries.push_back(ms);
  }
  const auto within = [](const std::vector<int64_t>& times, int64_t start) {
    return std::count_if(times.begin(), times.end(), [&](int64_t time) {
      return time >= start && time < start + 10'000;
    });
  };
  for (int64_t start = 0; start < 50'000; start += 100) {
    const auto allowed =
        0.2 * static_cast<double>(within(requests, start)) + 54;
    BOOST_TEST(static_cast<double>(within(retries, start)) <= allowed);
  }
  BOOST_TEST(!retries.empty());
}

BOOST_AUTO_TEST_CASE(let_a_node_with_few_requests_retry) {
  RetryAllowance node(RetryLimit{0.2, 54, seconds(10)});
  BOOST_TEST(node.TryTake(7, At(seconds(1))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refused_callers)

BOOST_AUTO_TEST_CASE(retry_at_different_times) {
  const Duration early = RetryAfterFor(RefusalReason::kNoEndpoint, 0);
  const Duration late = RetryAfterFor(RefusalReason::kNoEndpoint, 1);
  BOOST_TEST((early > Duration::zero()));
  BOOST_TEST((late > 2 * early));
}

BOOST_AUTO_TEST_CASE(retry_sooner_if_another_node_can_serve_them) {
  BOOST_TEST((RetryAfterFor(RefusalReason::kStaleConfiguration, 1) <
              RetryAfterFor(RefusalReason::kNoEndpoint, 0)));
}

// Load pattern: the store is down for 8 s. From the revocation bound (5 s) on,
// every node refuses every request with a key, and callers retry once.
BOOST_AUTO_TEST_CASE(mostly_return_after_an_outage_of_the_store) {
  const Duration refusals_last = milliseconds(3'000);
  std::mt19937 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto served_share = [&](RefusalReason reason) {
    int served = 0;
    for (int i = 0; i < 1'000; ++i) {
      const Duration refused_at = refusals_last * i / 1'000;
      if (refused_at + RetryAfterFor(reason, uniform(random)) > refusals_last)
        ++served;
    }
    return served / 1'000.0;
  };
  BOOST_TEST(served_share(RefusalReason::kStaleConfiguration) < 0.1);
  BOOST_TEST(served_share(RefusalReason::kFleetStale) > 0.5);
}

BOOST_AUTO_TEST_CASE(have_time_left_when_they_retry) {
  constexpr Duration kTimeLeft = milliseconds(3'000);
  for (const double jitter : {0.0, 0.5, 1.0}) {
    const Duration delay =
        RetryAfterFor(RefusalReason::kFleetStale, jitter, kTimeLeft);
    BOOST_TEST((delay > kTimeLeft / 10));
    BOOST_TEST((delay <= kTimeLeft / 3));
  }
  BOOST_TEST((RetryAfterFor(RefusalReason::kFleetStale, 1, milliseconds(-5)) ==
              Duration::zero()));
  BOOST_TEST((RetryAfterFor(RefusalReason::kStaleConfiguration, 1, kTimeLeft) ==
              RetryAfterFor(RefusalReason::kStaleConfiguration, 1)));
}

BOOST_AUTO_TEST_CASE(are_sent_elsewhere_only_if_a_peer_may_serve_them) {
  PeerSet peers({"node-a", "a", {}, {}, false}, seconds(1));
  // A node that hears no others is cut off itself.
  BOOST_TEST(peers.MayServeElsewhere(At(seconds(1))));
  const SocketAddress address{"192.0.2.2", 1};
  const auto hear = [&](bool serving, Timestamp now) {
    PeerStatus status;
    status.serving = serving;
    peers.OnIdentity({"node-b", "a", address, {}, serving}, now);
    peers.OnHeartbeat(address, status, now);
  };
  hear(true, At(seconds(1)));
  BOOST_TEST(peers.MayServeElsewhere(At(seconds(1))));
  hear(false, At(seconds(2)));
  BOOST_TEST(!peers.MayServeElsewhere(At(seconds(2))));
  BOOST_TEST(peers.MayServeElsewhere(At(seconds(9))));
}

BOOST_AUTO_TEST_CASE(do_not_retry_an_invalid_request) {
  BOOST_TEST(
      (RetryAfterFor(RefusalReason::kUnknownKey, 1) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

struct ZoneFixture {
  void Hear(const std::string& name, bool serving, Timestamp now) {
    PeerStatus status;
    status.serving = serving;
    const SocketAddress address{"192.0.2.1",
                                static_cast<uint16_t>(name.back())};
    peers.OnIdentity({name, "a", address, {}, serving}, now);
    peers.OnHeartbeat(address, status, now);
  }

  PeerSet peers{{"node-m", "a", {}, {}, true}, seconds(1)};
};

BOOST_FIXTURE_TEST_SUITE(the_zone_leader, ZoneFixture)

BOOST_AUTO_TEST_CASE(is_the_first_node_that_accepts_callers) {
  BOOST_TEST(peers.IsZoneLeader(At(seconds(1))));
  Hear("node-b", false, At(seconds(1)));
  Hear("node-x", true, At(seconds(1)));
  BOOST_TEST(peers.IsZoneLeader(At(seconds(1))));
  Hear("node-c", true, At(seconds(1)));
  BOOST_TEST(!peers.IsZoneLeader(At(seconds(1))));
  // node-c has sent no heartbeat for too long.
  BOOST_TEST(peers.IsZoneLeader(At(seconds(3))));
}

// Load pattern: an outage of the store that outlasts the revocation bound. If
// every node took itself for the leader, hundreds of them would call the store
// several times a second.
BOOST_AUTO_TEST_CASE(is_one_node_although_none_accepts_callers) {
  peers.SetServing(false);
  Hear("node-x", false, At(seconds(1)));
  BOOST_TEST(peers.IsZoneLeader(At(seconds(1))));
  Hear("node-b", false, At(seconds(1)));
  BOOST_TEST(!peers.IsZoneLeader(At(seconds(1))));
}

BOOST_AUTO_TEST_CASE(is_another_node_if_only_that_one_accepts_callers) {
  peers.SetServing(false);
  Hear("node-x", true, At(seconds(1)));
  BOOST_TEST(!peers.IsZoneLeader(At(seconds(1))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
