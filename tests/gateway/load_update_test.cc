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

struct NewsFixture {
  NewsFixture() {
    for (EndpointTable* table : {&teller, &listener}) {
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

  void Tell(size_t most, Timestamp now) {
    for (const LoadUpdate& update : teller.BusiestEndpoints(most, now))
      listener.OnLoadUpdate(update, now);
  }

  double Believed(const std::string& id, Timestamp now) const {
    return Find(listener, id)->EstimatedLoad(now);
  }

  EndpointTable teller;
  EndpointTable listener;
};

BOOST_FIXTURE_TEST_SUITE(news_of_load, NewsFixture)

BOOST_AUTO_TEST_CASE(tell_of_the_busiest_endpoints_first) {
  Find(teller, "e1")->OnReport({9, 0}, At(seconds(1)));
  Find(teller, "e2")->OnReport({20, 4}, At(seconds(1)));
  Find(teller, "e3")->OnReport({2, 0}, At(seconds(1)));
  Tell(1, At(seconds(1)));
  BOOST_TEST(Believed("e2", At(seconds(1))) == 24);
  BOOST_TEST(Believed("e1", At(seconds(1))) == 0);
  Tell(16, At(seconds(1)));
  BOOST_TEST(Believed("e1", At(seconds(1))) == 9);
  // Too few to matter.
  BOOST_TEST(Believed("e3", At(seconds(1))) == 0);
}

BOOST_AUTO_TEST_CASE(keep_their_age_on_the_way) {
  Find(teller, "e1")->OnReport({8, 0}, At(seconds(1)));
  Tell(16, At(seconds(2)));
  BOOST_TEST(Believed("e1", At(seconds(3))) == 4);
  // Old counts are not passed on.
  Tell(16, At(milliseconds(2'600)));
  BOOST_TEST(teller.BusiestEndpoints(16, At(milliseconds(2'600))).empty());
}

BOOST_AUTO_TEST_CASE(do_not_replace_a_later_count) {
  Find(listener, "e1")->OnReport({3, 0}, At(milliseconds(1'500)));
  Find(teller, "e1")->OnReport({8, 0}, At(seconds(1)));
  Tell(16, At(milliseconds(1'500)));
  BOOST_TEST(Believed("e1", At(milliseconds(1'500))) == 3);
}

BOOST_AUTO_TEST_CASE(of_an_endpoint_that_is_gone_say_nothing) {
  Find(teller, "e1")->OnReport({8, 0}, At(seconds(1)));
  listener.Remove("e1", At(seconds(1)));
  Tell(16, At(seconds(1)));
  BOOST_TEST(listener.size() == 2u);
}

BOOST_AUTO_TEST_CASE(count_this_nodes_own_requests_once) {
  const EndpointPtr engine = Find(listener, "e1");
  engine->OnSend(At(seconds(1)));
  engine->OnSend(At(seconds(1)));
  Find(teller, "e1")->OnReport({8, 0}, At(seconds(1)));
  Tell(16, At(seconds(1)));
  BOOST_TEST(Believed("e1", At(seconds(1))) == 8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(demand_for_a_prompts_part)

BOOST_AUTO_TEST_CASE(is_its_share_of_the_requests_under_way) {
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

BOOST_AUTO_TEST_CASE(of_a_single_short_request_is_none) {
  PromptPartDemand demand;
  demand.OnStart("pool", "once", At(seconds(0)));
  demand.OnEnd("pool", "once", At(milliseconds(100)));
  BOOST_TEST(demand.ShareOf("pool", "once", At(milliseconds(100))) == 0);
}

BOOST_AUTO_TEST_CASE(is_forgotten_once_nobody_asks) {
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
