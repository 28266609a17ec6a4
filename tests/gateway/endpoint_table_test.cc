#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/endpoint_table.h"
#include "libteaselthread/endpoints/removal_grace_period.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::MakeEngineRecord;
using test::MakeRoutes;

constexpr Duration kContactBound = seconds(3);
// After all that the tests do.
constexpr Timestamp kLater{std::chrono::hours(1)};
constexpr Duration kSweepInterval = milliseconds(200);

struct TableFixture {
  TableFixture() { table.SetServices(MakeRoutes()); }

  size_t available() const { return table.Available("pool", kLater).size(); }

  EndpointTable table;
};

BOOST_FIXTURE_TEST_SUITE(an_endpoint_table_follows_the_store, TableFixture)

BOOST_AUTO_TEST_CASE(listed_endpoints_are_available) {
  table.ReplaceAll({MakeEngineRecord("e1", "a"), MakeEngineRecord("e2", "b")},
                   At(seconds(0)));
  BOOST_TEST(available() == 2u);
  BOOST_TEST(table.Available("other", kLater).empty());
}

BOOST_AUTO_TEST_CASE(endpoints_missing_from_a_new_list_are_removed) {
  table.ReplaceAll({MakeEngineRecord("e1", "a"), MakeEngineRecord("e2", "b")},
                   At(seconds(0)));
  table.ReplaceAll({MakeEngineRecord("e2", "b")}, At(seconds(1)));
  BOOST_TEST(available() == 1u);
}

BOOST_AUTO_TEST_SUITE(a_cold_endpoint)

// Regression test: all gateways restarted at the same time and treated every
// engine as cold.
BOOST_FIXTURE_TEST_CASE(is_identified_by_its_record_in_the_first_list,
                        TableFixture) {
  EndpointRecord cold = MakeEngineRecord("e2", "a");
  cold.cold_left = seconds(2);
  table.ReplaceAll({MakeEngineRecord("e1", "a"), cold}, At(seconds(0)));
  const auto engines = table.Available("pool", kLater);
  BOOST_TEST(!engines[0]->IsCold(At(milliseconds(1'500))));
  BOOST_TEST(engines[1]->IsCold(At(milliseconds(1'500))));
}

BOOST_FIXTURE_TEST_CASE(is_any_that_is_added_later, TableFixture) {
  table.ReplaceAll({MakeEngineRecord("e1", "a")}, At(seconds(0)));
  table.Put(MakeEngineRecord("e2", "a"), At(seconds(5)));
  table.ReplaceAll({MakeEngineRecord("e1", "a"), MakeEngineRecord("e2", "a"),
                    MakeEngineRecord("e3", "a")},
                   At(seconds(6)));
  const auto engines = table.Available("pool", kLater);
  BOOST_TEST(engines[1]->IsCold(At(seconds(8))));
  BOOST_TEST(engines[2]->IsCold(At(seconds(9))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_draining_endpoint)

BOOST_FIXTURE_TEST_CASE(gets_no_new_requests_but_serves_copies, TableFixture) {
  EndpointRecord record = MakeEngineRecord("e1", "a");
  table.Put(record, At(seconds(0)));
  record.draining = true;
  table.Put(record, At(seconds(1)));
  BOOST_TEST(available() == 0u);
  BOOST_TEST(table.Running("pool").size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(is_not_readmitted_by_a_late_record, TableFixture) {
  EndpointRecord record = MakeEngineRecord("e1", "a");
  record.draining = true;
  table.Put(record, At(seconds(0)));
  record.draining = false;
  table.Put(record, At(seconds(1)));
  BOOST_TEST(available() == 0u);
}

BOOST_FIXTURE_TEST_CASE(is_readmitted_as_a_new_incarnation, TableFixture) {
  EndpointRecord record = MakeEngineRecord("e1", "a");
  record.draining = true;
  table.Put(record, At(seconds(0)));
  record.draining = false;
  record.started_at_ms += 1;
  table.Put(record, At(seconds(1)));
  BOOST_TEST(available() == 1u);
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_by_its_older_incarnation,
                        TableFixture) {
  EndpointRecord newer = MakeEngineRecord("e1", "a");
  EndpointRecord older = newer;
  newer.started_at_ms += 1;
  older.draining = true;
  table.Put(newer, At(seconds(0)));
  table.Put(older, At(seconds(1)));
  BOOST_TEST(available() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_evacuated_zone)

BOOST_FIXTURE_TEST_CASE(gets_no_requests_and_is_cold_when_readmitted,
                        TableFixture) {
  table.ReplaceAll({MakeEngineRecord("e1", "a"), MakeEngineRecord("e2", "b")},
                   At(seconds(0)));
  table.SetEvacuatedZones({"a"}, At(seconds(10)));
  BOOST_TEST(available() == 1u);
  table.SetEvacuatedZones({}, At(seconds(20)));
  BOOST_TEST(available() == 2u);
  const auto engines = table.Available("pool", kLater);
  BOOST_TEST(engines[0]->IsCold(At(seconds(23))));
  BOOST_TEST(!engines[0]->IsCold(At(seconds(25))));
  BOOST_TEST(!engines[1]->IsCold(At(seconds(23))));
}

BOOST_AUTO_TEST_SUITE_END()

// Load pattern: endpoints that leave while the store cannot tell of it, or are
// overloaded and turn requests away.
BOOST_AUTO_TEST_SUITE(an_endpoint_that_announces_something)

struct AnnouncementFixture : TableFixture {
  AnnouncementFixture() {
    table.ReplaceAll({record, MakeEngineRecord("e2", "a")}, At(seconds(0)));
  }

  std::optional<UnusableReason> WhyUnusable(Timestamp now) const {
    return table.WhyUnusable(*table.Running("pool").front(), now);
  }

  EndpointRecord record = MakeEngineRecord("e1", "a");
};

BOOST_AUTO_TEST_SUITE(that_it_leaves)

BOOST_FIXTURE_TEST_CASE(is_not_brought_back_by_its_record,
                        AnnouncementFixture) {
  BOOST_TEST(table.announcements().OnLeaving(record, At(seconds(1))));
  BOOST_TEST(!table.announcements().OnLeaving(record, At(seconds(1))));
  BOOST_TEST((WhyUnusable(At(seconds(1))) == UnusableReason::kLeaving));
  table.Put(record, At(seconds(2)));
  BOOST_TEST(available() == 1u);
  table.Remove("e1", At(seconds(3)));
  table.Put(record, At(seconds(4)));
  BOOST_TEST(available() == 1u);
}

BOOST_FIXTURE_TEST_CASE(is_used_again_after_its_next_start,
                        AnnouncementFixture) {
  table.announcements().OnLeaving(record, At(seconds(1)));
  record.started_at_ms += 1;
  table.Put(record, At(seconds(2)));
  BOOST_TEST(available() == 2u);
}

BOOST_FIXTURE_TEST_CASE(is_remembered_for_as_long_as_it_may_run,
                        AnnouncementFixture) {
  table.announcements().OnLeaving(record, At(seconds(1)));
  table.Sweep(At(std::chrono::minutes(20)));
  BOOST_TEST(available() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_it_pauses)

BOOST_FIXTURE_TEST_CASE(is_used_again_after_the_longest_pause,
                        AnnouncementFixture) {
  table.announcements().OnPause(record, At(seconds(5)), At(seconds(1)));
  table.announcements().OnPause(record, At(seconds(3)), At(seconds(2)));
  BOOST_TEST((WhyUnusable(At(milliseconds(4'999))) == UnusableReason::kPaused));
  BOOST_TEST(!WhyUnusable(At(seconds(5))).has_value());
}

BOOST_FIXTURE_TEST_CASE(does_not_keep_the_service_from_the_first_to_end,
                        AnnouncementFixture) {
  const auto second = table.Running("pool").back()->record();
  table.announcements().OnPause(record, At(seconds(9)), At(seconds(1)));
  table.announcements().OnPause(second, At(seconds(4)), At(seconds(1)));
  BOOST_TEST((table.ShortestPause("pool", At(seconds(1))) == seconds(3)));
  BOOST_TEST(!table.ShortestPause("desk", At(seconds(1))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_a_store_outage)

BOOST_FIXTURE_TEST_CASE(expired_entries_have_time_to_be_registered_again,
                        TableFixture) {
  table.ReplaceAll({MakeEngineRecord("e1", "a"), MakeEngineRecord("e2", "b")},
                   At(seconds(0)));
  table.DeferRemovals(At(seconds(12)));
  table.Remove("e1", At(seconds(10)));
  table.Remove("e2", At(seconds(10)));
  BOOST_TEST(available() == 2u);
  table.Put(MakeEngineRecord("e2", "b"), At(seconds(11)));
  table.Sweep(At(seconds(12)));
  BOOST_TEST(available() == 1u);
  BOOST_TEST(table.Available("pool", kLater)[0]->record().id == "e2");
}

// Regression test: watches of three kinds returned 12.2, 16.0 and 17.7 s into
// the run, and each of them restarted the grace period. A removal reached the
// gateway 3.8 s after the store was reachable again, and the endpoint still got
// requests 3.1 s after that.
BOOST_AUTO_TEST_CASE(watches_that_return_late_do_not_extend_the_grace_period) {
  RemovalGracePeriod grace(kContactBound);
  grace.OnLost(At(milliseconds(2'558)));
  grace.OnLost(At(milliseconds(2'559)));
  grace.OnLost(At(milliseconds(2'560)));
  const auto first =
      grace.OnRegained(At(milliseconds(12'100)), At(milliseconds(12'200)));
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((*first <= At(milliseconds(14'600))));
  BOOST_TEST(
      !grace.OnRegained(At(milliseconds(12'100)), At(milliseconds(16'000)))
           .has_value());
  BOOST_TEST(
      !grace.OnRegained(At(milliseconds(12'100)), At(milliseconds(17'700)))
           .has_value());
}

BOOST_AUTO_TEST_CASE(another_outage_starts_another_grace_period) {
  RemovalGracePeriod grace(kContactBound);
  BOOST_TEST(!grace.OnRegained(At(seconds(0)), At(seconds(1))).has_value());
  grace.OnLost(At(seconds(1)));
  BOOST_TEST(grace.OnRegained(At(seconds(2)), At(seconds(2))).has_value());
  grace.OnLost(At(seconds(5)));
  BOOST_TEST(grace.OnRegained(At(seconds(9)), At(seconds(9))).has_value());
}

// Regression test: a gateway's network links were cut until 24.5 s. Its last
// failed call was made at 24.3 s, and the next one succeeded at 25.07 s. An
// endpoint that was removed at 25.02 s got a request at 27.50 s, because its
// removal was deferred until 27.37 s and the next sweep.
BOOST_AUTO_TEST_CASE(removals_take_effect_within_the_contact_bound_of_the_cut) {
  const Timestamp cut_ended = At(milliseconds(24'500));
  RemovalGracePeriod grace(kContactBound);
  grace.OnLost(At(milliseconds(16'566)));
  const auto until =
      grace.OnRegained(At(milliseconds(24'300)), At(milliseconds(25'070)));
  BOOST_REQUIRE(until.has_value());
  BOOST_TEST((*until + kSweepInterval < cut_ended + kContactBound));
  // Entries that expired are registered again by then.
  BOOST_TEST((*until >= cut_ended + seconds(2)));
}

// With a longer bound, entries have the full time to be registered again.
BOOST_AUTO_TEST_CASE(a_long_contact_bound_does_not_extend_the_grace_period) {
  RemovalGracePeriod grace(seconds(8));
  grace.OnLost(At(seconds(10)));
  const auto until =
      grace.OnRegained(At(milliseconds(19'800)), At(seconds(20)));
  BOOST_REQUIRE(until.has_value());
  BOOST_TEST((*until <= At(milliseconds(22'500))));
}

// Regression test: a gateway's own new call for the configuration was mistaken
// for a store outage, and a removal took effect 3.0 s late.
BOOST_AUTO_TEST_CASE(one_lost_connection_is_not_an_outage) {
  RemovalGracePeriod grace(kContactBound);
  grace.OnLost(At(milliseconds(19'291)));
  BOOST_TEST(
      !grace.OnRegained(At(milliseconds(19'291)), At(milliseconds(19'680)))
           .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
