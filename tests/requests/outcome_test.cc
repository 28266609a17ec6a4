#include "libteaselthread/requests/outcome.h"

#include <boost/test/unit_test.hpp>
#include <concepts>

namespace teaselthread {
namespace {

template <typename Call>
concept CanRefuse = requires(Call call) {
  std::move(call).Refuse(RefusalReason::kNoEndpoint, Duration::zero());
};

template <typename Call>
concept CanAnswer = requires(Call call) {
  std::move(call).Answer();
};

BOOST_AUTO_TEST_SUITE(an_outcome_states_only_what_is_certain)

BOOST_AUTO_TEST_CASE(only_an_unsent_call_can_end_as_not_run) {
  static_assert(CanRefuse<UnsentCall>);
  static_assert(!CanRefuse<PossiblySentCall>);
  static_assert(!std::constructible_from<Outcome, RefusedNotRun>);
  static_assert(!std::default_initializable<PossiblySentCall>);
  const Outcome outcome =
      UnsentCall().Refuse(RefusalReason::kQueueFull, Duration(5));
  BOOST_TEST(Describe(outcome) == "not run: queue-full");
  BOOST_TEST((outcome.refused()->retry_after == Duration(5)));
}

BOOST_AUTO_TEST_CASE(a_possibly_sent_call_is_answered_or_may_have_run) {
  static_assert(!CanAnswer<UnsentCall>);
  BOOST_TEST(Describe(UnsentCall().MarkPossiblySent().Answer()) == "answered");
  const Outcome lost =
      UnsentCall().MarkPossiblySent().MarkUnknown(UnknownReason::kOwnerLost);
  BOOST_TEST(Describe(lost) == "may have run: owner-lost");
}

BOOST_AUTO_TEST_CASE(every_reason_has_a_name_and_an_error_status) {
  for (size_t i = 0; i < kRefusalReasonCount; ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    BOOST_TEST(!ToString(reason).empty());
    BOOST_TEST(HttpStatus(reason) >= 400);
  }
  for (size_t i = 0; i < kUnknownReasonCount; ++i) {
    const auto reason = static_cast<UnknownReason>(i);
    BOOST_TEST(!ToString(reason).empty());
    BOOST_TEST(HttpStatus(reason) >= 500);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
