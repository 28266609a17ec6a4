#include "libteaselthread/endpoints/endpoint_speed.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/attempts/response_timeouts.h"
#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/endpoints/waiting_requests.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::MakeDeskRecord;
using test::MakeEngineRecord;
using test::MakeRoutes;

const Timestamp kNow = At(seconds(30));

BOOST_AUTO_TEST_SUITE(the_speed_of_an_endpoint)

// Guards against figures of other endpoints than those that send them.
BOOST_AUTO_TEST_CASE(is_the_usual_one_until_it_is_reported) {
  EndpointSpeed speed;
  BOOST_TEST(speed.Slowness(kNow) == 1);
  speed.OnReport(0, kNow);
  BOOST_TEST(!speed.IsKnown(kNow));
  speed.OnReport(400, kNow);
  BOOST_TEST(speed.Slowness(kNow) == 4);
}

// Guards against single figures that move all requests, and against a steady
// figure that is never believed.
BOOST_AUTO_TEST_CASE(follows_a_change_within_some_tenths_of_a_second) {
  EndpointSpeed speed;
  for (int i = 0; i < 10; ++i)
    speed.OnReport(100, kNow + milliseconds(20 * i));
  speed.OnReport(700, kNow + milliseconds(200));
  BOOST_TEST(speed.Slowness(kNow + milliseconds(200)) < 1.6);
  for (int i = 1; i <= 30; ++i)
    speed.OnReport(700, kNow + milliseconds(200 + 20 * i));
  BOOST_TEST(speed.Slowness(kNow + milliseconds(800)) > 5.5);
}

// Guards against gossip that repeats one report and so drowns the others.
BOOST_AUTO_TEST_CASE(counts_a_repeated_report_once) {
  EndpointSpeed speed;
  speed.OnReport(100, kNow);
  speed.OnReport(500, kNow + milliseconds(300));
  const double once = speed.Slowness(kNow + milliseconds(300));
  for (int i = 0; i < 50; ++i)
    speed.OnReport(500, kNow + milliseconds(300));
  speed.OnReport(100, kNow + milliseconds(100));
  BOOST_TEST(speed.Slowness(kNow + milliseconds(300)) == once);
}

// Guards against an endpoint that is avoided for ever because it gets no
// requests whose responses could say that it is fast again.
BOOST_AUTO_TEST_CASE(is_the_usual_one_again_two_seconds_after_the_last_report) {
  EndpointSpeed speed;
  speed.OnReport(900, kNow);
  BOOST_TEST(speed.Slowness(kNow + seconds(1)) == 5);
  BOOST_TEST(speed.Slowness(kNow + seconds(2)) == 1);
}

BOOST_AUTO_TEST_CASE(has_a_bounded_effect) {
  EndpointSpeed speed;
  speed.OnReport(4'000'000, kNow);
  BOOST_TEST(speed.Slowness(kNow) == 20);
  EndpointSpeed fast;
  fast.OnReport(1, kNow);
  BOOST_TEST(fast.Slowness(kNow) == 0.25);
}

BOOST_AUTO_TEST_CASE(does_not_count_as_work_time) {
  UsualWorkTime work;
  for (int i = 0; i < 100; ++i)
    work.OnResponse(milliseconds(240), 4);
  work.OnResponse(Duration::zero(), 1);
  BOOST_TEST((work.Estimate() == milliseconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

struct SpeedFixture {
  SpeedFixture() : routes(MakeRoutes()), selector(&table) {
    table.SetServices(routes);
    for (const std::string zone : {"a", "b"}) {
      table.Put(MakeDeskRecord("desk-" + zone, zone), At(seconds(0)));
      for (const std::string number : {"1", "2", "3"}) {
        table.Put(MakeEngineRecord("engine-" + zone + number, zone),
                  At(seconds(0)));
      }
    }
  }

  EndpointPtr Find(const std::string& service, const std::string& id) const {
    for (const EndpointPtr& endpoint : table.Running(service)) {
      if (endpoint->record().id == id)
        return endpoint;
    }
    return nullptr;
  }
  void Report(const std::string& id, uint32_t running, uint32_t percent) {
    Find("desk", id)->OnReport({running, 0, 6, percent}, kNow);
  }
  std::string ChooseDesk(uint64_t seed = 1) const {
    SelectionQuery query;
    query.service = routes.FindService("desk");
    query.work_time = milliseconds(60);
    query.seed = seed;
    SelectionContext context;
    context.zone = "a";
    return std::get<Selection>(selector.Select(query, context, kNow))
        .endpoint->record()
        .id;
  }
  std::string ChooseEngine(double service_requests) const {
    SelectionQuery query;
    query.service = routes.FindService("pool");
    query.prompt = {{"dossier", 10'000}, {"own", 100}};
    SelectionContext context;
    context.nodes = {"node"};
    context.service_requests = service_requests;
    return std::get<Selection>(selector.Select(query, context, kNow))
        .endpoint->record()
        .id;
  }

  RouteTable routes;
  EndpointTable table;
  EndpointSelector selector;
};

BOOST_FIXTURE_TEST_SUITE(a_request_of_a_plain_service, SpeedFixture)

// Guards against zone crossings that cost the caller more than they save.
BOOST_AUTO_TEST_CASE(crosses_zones_only_where_that_pays) {
  Report("desk-a", 1, 110);
  Report("desk-b", 1, 100);
  BOOST_TEST(ChooseDesk() == "desk-a");
  Report("desk-a", 1, 130);
  Find("desk", "desk-a")->OnReport({1, 0, 6, 300}, kNow + milliseconds(1));
  BOOST_TEST(ChooseDesk() == "desk-a");
  Find("desk", "desk-a")->OnReport({1, 0, 6, 300}, kNow + seconds(1));
  BOOST_TEST(ChooseDesk() == "desk-b");
}

// Guards against a fast endpoint that is preferred although its slots are
// taken: the request would wait there for a second round.
BOOST_AUTO_TEST_CASE(counts_the_rounds_before_its_own_work_ends) {
  Report("desk-a", 6, 100);
  Report("desk-b", 1, 150);
  BOOST_TEST(ChooseDesk() == "desk-b");
  Report("desk-b", 6, 150);
  BOOST_TEST(ChooseDesk() == "desk-a");
}

// Guards against all gateways choosing one endpoint until its next count.
BOOST_AUTO_TEST_CASE(is_spread_over_endpoints_of_other_zones) {
  for (int i = 0; i < 8; ++i) {
    table.Put(MakeDeskRecord("more-" + std::to_string(i), "b"), kNow);
  }
  Report("desk-a", 6, 1'000);
  std::map<std::string, int> sent;
  for (uint64_t seed = 0; seed < 900; ++seed)
    ++sent[ChooseDesk(seed * 7'919)];
  BOOST_TEST(sent.size() >= 8u);
  BOOST_TEST(sent["desk-a"] == 0);
  for (const auto& [id, count] : sent)
    BOOST_TEST(count < 250);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_chat, SpeedFixture)

BOOST_AUTO_TEST_CASE(passes_over_an_engine_that_is_slower_than_the_others) {
  const std::string primary = ChooseEngine(24);
  const EndpointPtr engine = Find("pool", primary);
  engine->OnReport({5, 0, 64, 100}, kNow);
  BOOST_TEST(ChooseEngine(24) == primary);
  engine->OnReport({5, 0, 64, 400}, kNow + seconds(1));
  BOOST_TEST(ChooseEngine(24) != primary);
}

// Guards against losing the cached parts of a service that is slow as a whole.
BOOST_AUTO_TEST_CASE(stays_at_its_engine_if_all_are_slow) {
  const std::string primary = ChooseEngine(24);
  for (const EndpointPtr& engine : table.Running("pool"))
    engine->OnReport({5, 0, 64, 400}, kNow);
  BOOST_TEST(ChooseEngine(24) == primary);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(time_limits_of_slow_endpoints, SpeedFixture)

// Guards against slow endpoints that are taken for ones that hang.
BOOST_AUTO_TEST_CASE(are_longer_up_to_a_bound) {
  ResponseTimeoutQuery query;
  query.route = routes.FindRoute("shop.example", "/chat/");
  query.time_left = seconds(60);
  const ResponseTimeouts usual = ChooseResponseTimeouts(query);
  query.slowness = 3;
  BOOST_TEST((ChooseResponseTimeouts(query).first == 3 * usual.first));
  query.slowness = 20;
  BOOST_TEST((ChooseResponseTimeouts(query).first == 4 * usual.first));
  query.slowness = 0.5;
  BOOST_TEST((ChooseResponseTimeouts(query) == usual));
}

BOOST_AUTO_TEST_CASE(leave_them_more_of_the_objective) {
  BOOST_TEST((WaitingRequests::MaxWait(seconds(1), seconds(12), 3) ==
              milliseconds(250)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(load_updates_with_speeds, SpeedFixture)

// Guards against gateways that learn of a slow endpoint only by their own
// requests, of which each gateway has few.
BOOST_AUTO_TEST_CASE(report_unusual_ones_although_the_load_is_low) {
  std::vector<LoadUpdate> updates;
  Report("desk-a", 1, 110);
  table.AppendUnusualSpeeds(8, kNow, &updates);
  BOOST_TEST(updates.empty());
  Report("desk-b", 1, 300);
  table.AppendUnusualSpeeds(8, kNow, &updates);
  table.AppendUnusualSpeeds(8, kNow, &updates);
  BOOST_REQUIRE(updates.size() == 1u);
  SpeedFixture receiver;
  receiver.table.OnLoadUpdate(updates.front(), kNow);
  BOOST_TEST(receiver.Find("desk", "desk-b")->speed().Slowness(kNow) == 3);
}

// Guards against others that still avoid an endpoint that is fast again.
BOOST_AUTO_TEST_CASE(report_the_return_to_the_usual_one) {
  Report("desk-b", 1, 300);
  const Timestamp later = kNow + milliseconds(100);
  Find("desk", "desk-b")->OnReport({1, 0, 6, 100}, later);
  std::vector<LoadUpdate> updates;
  table.AppendUnusualSpeeds(8, later, &updates);
  BOOST_REQUIRE(updates.size() == 1u);
  BOOST_TEST((updates.front().percent == 100));
}

// Guards against larger heartbeats where no endpoint reports its speed.
BOOST_AUTO_TEST_CASE(add_nothing_where_endpoints_report_none) {
  Find("desk", "desk-a")->OnReport({6, 0}, kNow);
  std::vector<LoadUpdate> updates;
  table.AppendUnusualSpeeds(8, kNow, &updates);
  BOOST_TEST(updates.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
