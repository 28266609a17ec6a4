#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/endpoint_table.h"
#include "libteaselthread/endpoints/prompt_part_demand.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::MakeEngineRecord;
using test::MakeRoutes;

struct LoadUpdateFixture {
  LoadUpdateFixture() {
    for (EndpointTable* table : {&sender, &receiver}) {
      table->SetServices(MakeRoutes());
      for (const char* id : {"e1", "e2", "e3"})
        table->Put(MakeEngineRecord(id, "a"), At(seconds(0)));
    }
  }

  static EndpointPtr Find(const EndpointTable& table, const std::string& id) {
    for (const EndpointPtr& endpoint : table.Running("pool")) {
      if (endpoint->record().id == id)
        return endpoint;
    }
    return nullptr;
  }

  void SendUpdates(size_t max_count, Timestamp now) {
    for (const LoadUpdate& update : sender.BusiestEndpoints(max_count, now))
      receiver.OnLoadUpdate(update, now);
  }

  double LoadAtReceiver(const std::string& id, Timestamp now) const {
    return Find(receiver, id)->EstimatedLoad(now);
  }

  EndpointTable sender;
  EndpointTable receiver;
};

BOOST_FIXTURE_TEST_SUITE(load_updates, LoadUpdateFixture)

BOOST_AUTO_TEST_CASE(report_the_busiest_endpoints_first) {
  Find(sender, "e1")->OnReport({9, 0}, At(seconds(1)));
  Find(sender, "e2")->OnReport({20, 4}, At(seconds(1)));
  Find(sender, "e3")->OnReport({2, 0}, At(seconds(1)));
  SendUpdates(1, At(seconds(1)));
  BOOST_TEST(LoadAtReceiver("e2", At(seconds(1))) == 24);
  BOOST_TEST(LoadAtReceiver("e1", At(seconds(1))) == 0);
  SendUpdates(16, At(seconds(1)));
  BOOST_TEST(LoadAtReceiver("e1", At(seconds(1))) == 9);
  // Too few requests to be reported.
  BOOST_TEST(LoadAtReceiver("e3", At(seconds(1))) == 0);
}

BOOST_AUTO_TEST_CASE(keep_the_age_of_the_count) {
  Find(sender, "e1")->OnReport({8, 0}, At(seconds(1)));
  SendUpdates(16, At(seconds(2)));
  BOOST_TEST(LoadAtReceiver("e1", At(seconds(3))) == 4);
  // Old counts are not sent.
  SendUpdates(16, At(milliseconds(2'600)));
  BOOST_TEST(sender.BusiestEndpoints(16, At(milliseconds(2'600))).empty());
}

BOOST_AUTO_TEST_CASE(do_not_replace_a_later_count) {
  Find(receiver, "e1")->OnReport({3, 0}, At(milliseconds(1'500)));
  Find(sender, "e1")->OnReport({8, 0}, At(seconds(1)));
  SendUpdates(16, At(milliseconds(1'500)));
  BOOST_TEST(LoadAtReceiver("e1", At(milliseconds(1'500))) == 3);
}

BOOST_AUTO_TEST_CASE(for_a_removed_endpoint_are_ignored) {
  Find(sender, "e1")->OnReport({8, 0}, At(seconds(1)));
  receiver.Remove("e1", At(seconds(1)));
  SendUpdates(16, At(seconds(1)));
  BOOST_TEST(receiver.size() == 2u);
}

BOOST_AUTO_TEST_CASE(count_local_requests_only_once) {
  const EndpointPtr engine = Find(receiver, "e1");
  engine->OnSend(At(seconds(1)));
  engine->OnSend(At(seconds(1)));
  Find(sender, "e1")->OnReport({8, 0}, At(seconds(1)));
  SendUpdates(16, At(seconds(1)));
  BOOST_TEST(LoadAtReceiver("e1", At(seconds(1))) == 8);
}

// Regression test: requests that were sent after another node's count were
// taken for requests that the count included.
BOOST_AUTO_TEST_CASE(do_not_include_later_local_requests) {
  const EndpointPtr engine = Find(receiver, "e1");
  engine->OnSend(At(milliseconds(500)));
  engine->OnSend(At(milliseconds(600)));
  engine->OnEnd(At(milliseconds(1'100)));
  Find(sender, "e1")->OnReport({8, 0}, At(seconds(1)));
  for (int i = 0; i < 3; ++i)
    engine->OnSend(At(milliseconds(1'200)));
  SendUpdates(16, At(milliseconds(1'200)));
  // Six requests of other nodes, a twentieth of which is taken to have ended.
  BOOST_TEST(LoadAtReceiver("e1", At(milliseconds(1'200))) == 4 + 6 * 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(demand_for_a_prompt_part)

BOOST_AUTO_TEST_CASE(is_its_share_of_the_requests_in_progress) {
  PromptPartDemand demand;
  for (int i = 0; i < 3; ++i)
    demand.OnStart("pool", "hot", At(seconds(0)));
  demand.OnStart("pool", "other", At(seconds(0)));
  demand.OnStart("elsewhere", "hot", At(seconds(0)));
  const double share = demand.ShareOf("pool", "hot", At(seconds(3)));
  BOOST_TEST(share > 0.65);
  BOOST_TEST(share < 0.75);
  BOOST_TEST(demand.ShareOf("pool", "unknown", At(seconds(3))) == 0);
}

BOOST_AUTO_TEST_CASE(of_a_single_short_request_is_zero) {
  PromptPartDemand demand;
  demand.OnStart("pool", "once", At(seconds(0)));
  demand.OnEnd("pool", "once", At(milliseconds(100)));
  BOOST_TEST(demand.ShareOf("pool", "once", At(milliseconds(100))) == 0);
}

BOOST_AUTO_TEST_CASE(is_evicted_once_it_is_idle) {
  PromptPartDemand demand;
  for (int i = 0; i < 100; ++i) {
    const std::string part = std::to_string(i);
    demand.OnStart("pool", part, At(seconds(0)));
    demand.OnEnd("pool", part, At(seconds(1)));
  }
  BOOST_TEST(demand.size() == 100u);
  demand.OnStart("pool", "later", At(seconds(10)));
  BOOST_TEST(demand.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
