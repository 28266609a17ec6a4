#include <boost/test/unit_test.hpp>

#include "libteaselthread/requests/idempotency_table.h"
#include "support/fake_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::seconds;
using test::At;

constexpr Incarnation kSelf(7);
constexpr WallSeconds kWall(1'000'000);
constexpr IdempotencySettings kSettings{4, 100, seconds(60),
                                        WallSeconds(3'600)};

std::string KeyOf(Incarnation home, WallSeconds issued, int number) {
  return Ticket(home, issued, 9).ToString() + "-" + std::to_string(number);
}

struct TableFixture {
  KeyDecision Begin(const std::string& key,
                    WallSeconds wall = kWall,
                    uint64_t fingerprint = 1) {
    return table.Begin("customer", key, fingerprint, wall, At(seconds(0)));
  }
  IdempotencyTable table{kSelf, kSettings};
  std::string key = KeyOf(kSelf, kWall, 1);
};

BOOST_AUTO_TEST_SUITE(a_ticket_names_the_only_node_that_runs_its_keys)

BOOST_AUTO_TEST_CASE(it_is_parsed_from_a_key) {
  const Ticket ticket(Incarnation(0xabc), WallSeconds(0x1234), 0xff);
  BOOST_TEST(ticket.ToString() == "tt1-0000000000000abc-1234-ff");
  BOOST_TEST((Ticket::ParseKey(ticket.ToString() + "-order-1") == ticket));
}

BOOST_AUTO_TEST_CASE(a_malformed_key_gives_no_ticket) {
  for (const char* key :
       {"", "tt1-", "abc", "tt1-0000000000000abc-1234-ff",
        "tt1-0000000000000abc-1234-ff-", "tt1-0000000000000ABC-1234-ff-1",
        "tt1-0000000000000abc-xyz-ff-1", "tt1-abc-1234-ff-1",
        "tt1-0000000000000abc-123456789-ff-1", "tt2-0000000000000abc-1-1-1"})
    BOOST_TEST(!Ticket::ParseKey(key), key);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_key_runs_once_at_its_home, TableFixture)

BOOST_AUTO_TEST_CASE(its_repeats_join_and_then_get_the_stored_response) {
  BOOST_TEST((Begin(key).verdict == KeyVerdict::kRun));
  BOOST_TEST((Begin(key).verdict == KeyVerdict::kJoin));
  table.Complete("customer", key, {200, "text/plain", "done"}, At(seconds(1)));
  const KeyDecision repeat = Begin(key);
  BOOST_REQUIRE((repeat.verdict == KeyVerdict::kReplay));
  BOOST_TEST(repeat.answer->body == "done");
}

BOOST_AUTO_TEST_CASE(a_key_that_may_have_run_never_runs_again) {
  Begin(key);
  table.MarkUnknown("customer", key, UnknownReason::kOwnerLost);
  const KeyDecision repeat = Begin(key);
  BOOST_TEST((repeat.verdict == KeyVerdict::kUnknown));
  BOOST_TEST((repeat.unknown == UnknownReason::kOwnerLost));
}

BOOST_AUTO_TEST_CASE(a_key_that_did_not_run_may_run_later) {
  Begin(key);
  table.Withdraw("customer", key);
  BOOST_TEST((Begin(key).verdict == KeyVerdict::kRun));
}

BOOST_AUTO_TEST_CASE(customers_do_not_share_keys) {
  Begin(key);
  const KeyDecision other = table.Begin("other", key, 1, kWall, At(seconds(0)));
  BOOST_TEST((other.verdict == KeyVerdict::kRun));
}

BOOST_AUTO_TEST_CASE(another_request_under_a_used_key_is_refused) {
  Begin(key);
  const KeyDecision other = Begin(key, kWall, 2);
  BOOST_TEST((other.refusal == RefusalReason::kKeyReused));
}

BOOST_AUTO_TEST_SUITE(and_does_not_run)

BOOST_AUTO_TEST_CASE(but_is_unknown_if_its_ticket_names_another_incarnation) {
  const KeyDecision decision = Begin(KeyOf(Incarnation(8), kWall, 1));
  BOOST_TEST((decision.unknown == UnknownReason::kHomeGone));
}

BOOST_AUTO_TEST_CASE(
    but_is_unknown_after_its_ticket_has_expired_also_if_the_clock_is_set_back) {
  Begin(key);
  const WallSeconds expired = kWall + kSettings.ticket_lifetime;
  BOOST_TEST((Begin(key, expired).unknown == UnknownReason::kTicketExpired));
  BOOST_TEST((Begin(key, kWall).unknown == UnknownReason::kTicketExpired));
}

BOOST_AUTO_TEST_CASE(but_is_refused_if_it_is_new_and_the_table_is_full) {
  for (int number = 1; number <= 4; ++number)
    BOOST_TEST(
        (Begin(KeyOf(kSelf, kWall, number)).verdict == KeyVerdict::kRun));
  const KeyDecision fifth = Begin(KeyOf(kSelf, kWall, 5));
  BOOST_TEST((fifth.refusal == RefusalReason::kIdempotencyTableFull));
  BOOST_TEST((Begin(key).verdict == KeyVerdict::kJoin));
}

BOOST_AUTO_TEST_CASE(but_is_unknown_if_its_response_was_dropped) {
  Begin(key);
  table.Complete("customer", key, {200, "", std::string(101, 'x')},
                 At(seconds(1)));
  BOOST_TEST((Begin(key).unknown == UnknownReason::kAnswerNotKept));
  BOOST_TEST(table.stored_response_bytes() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
