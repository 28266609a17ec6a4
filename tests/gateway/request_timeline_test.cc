#include "teaselthread/request_timeline.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace teaselthread {
namespace {

constexpr char kFirstLog[] =
    R"({"time":"2026-03-12T16:57:40.744","level":"info","event":"sent","id":"b28a","endpoint":"e-1","load":9,"rank":0}
{"time":"2026-03-12T16:57:40.800","level":"info","event":"sent","id":"other","endpoint":"e-2","load":3}
{"time":"2026-03-12T16:57:41.003","level":"info","event":"attempt-failed","id":"b28a","endpoint":"e-1","failure":"broken","retried":false}
{"time":"2026-03-12T16:57:41.004","level":"info","event":"request-ended","id":"b28a","outcome":"unknown","reason":"connection-lost"}
not a log line
{"time":"2026-03-12T16:57:41.050","level":"info","event":"endpoint-ejected","endpoint":"e-1","failure":"broken"}
{"time":"2026-03-12T16:57:41.060","level":"info","event":"endpoint-ejected","endpoint":"e-2","failure":"silent"}
)";
constexpr char kSecondLog[] =
    R"({"time":"2026-03-12T16:57:40.900","level":"warning","event":"store-lost","kind":"configuration"}
{"time":"2026-03-12T16:57:53.700","level":"info","event":"endpoints-changed","revision":9,"ready":["e-2"],"removed":["e-1","e-3"]}
{"time":"2026-03-12T16:57:53.800","level":"info","event":"endpoints-changed","revision":10,"draining":["e-2"]}
)";
constexpr char kTimeline[] =
    R"(2026-03-12T16:57:40.744 entry-1 sent endpoint="e-1" load=9 rank=0
2026-03-12T16:57:40.900 entry-2 store-lost kind="configuration"
2026-03-12T16:57:41.003 entry-1 attempt-failed endpoint="e-1" failure="broken" retried=false
2026-03-12T16:57:41.004 entry-1 request-ended outcome="unknown" reason="connection-lost"
2026-03-12T16:57:41.050 entry-1 endpoint-ejected endpoint="e-1" failure="broken"
2026-03-12T16:57:53.700 entry-2 endpoints-changed revision=9 removed=["e-1"]
)";

// The first attempt is late, and the hedge's response is the first one.
constexpr char kHedgedLog[] =
    R"({"time":"2026-03-12T16:57:40.700","event":"sent","id":"b28a","endpoint":"e-1","load":1}
{"time":"2026-03-12T16:57:40.782","event":"hedge-sent","id":"b28a","late_endpoint":"e-1","endpoint":"e-2","delay_ms":82}
{"time":"2026-03-12T16:57:40.782","event":"sent","id":"b28a","endpoint":"e-2","load":0,"hedge":true}
{"time":"2026-03-12T16:57:40.842","event":"attempt-cancelled","id":"b28a","endpoint":"e-1","hedge":false}
{"time":"2026-03-12T16:57:40.842","event":"request-ended","id":"b28a","endpoint":"e-2","hedge":"won"}
{"time":"2026-03-12T16:57:40.900","event":"endpoint-ejected","endpoint":"e-2"}
)";
constexpr char kHedgedTimeline[] =
    R"(2026-03-12T16:57:40.700 entry-1 sent endpoint="e-1" load=1
2026-03-12T16:57:40.782 entry-1 hedge-sent late_endpoint="e-1" endpoint="e-2" delay_ms=82
2026-03-12T16:57:40.782 entry-1 sent endpoint="e-2" load=0 hedge=true
2026-03-12T16:57:40.842 entry-1 attempt-cancelled endpoint="e-1" hedge=false
2026-03-12T16:57:40.842 entry-1 request-ended endpoint="e-2" hedge="won"
2026-03-12T16:57:40.900 entry-1 endpoint-ejected endpoint="e-2"
)";

struct TimelineFixture {
  void ReadBoth(RequestTimeline& timeline) {
    std::istringstream second(kSecondLog);
    std::istringstream first(kFirstLog);
    timeline.Read(second, "entry-2");
    timeline.Read(first, "entry-1");
  }
};

BOOST_FIXTURE_TEST_SUITE(the_timeline_of_a_request, TimelineFixture)

BOOST_AUTO_TEST_CASE(merges_several_logs_in_order) {
  RequestTimeline timeline("b28a");
  ReadBoth(timeline);
  BOOST_TEST(timeline.Tell() == kTimeline);
  BOOST_TEST(timeline.unreadable_lines() == 1u);
}

BOOST_AUTO_TEST_CASE(shows_both_attempts_if_it_was_hedged) {
  RequestTimeline timeline("b28a");
  std::istringstream log(kHedgedLog);
  timeline.Read(log, "entry-1");
  BOOST_TEST(timeline.Tell() == kHedgedTimeline);
}

BOOST_AUTO_TEST_CASE(is_empty_if_no_log_line_has_its_id) {
  RequestTimeline timeline("nobody");
  ReadBoth(timeline);
  BOOST_TEST(timeline.Tell().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
