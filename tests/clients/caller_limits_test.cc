#include <boost/test/unit_test.hpp>

#include "libteaselthread/callers/body_rate.h"
#include "libteaselthread/callers/caller_connections.h"
#include "libteaselthread/callers/log_line_limit.h"
#include "libteaselthread/callers/read_pacing.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using State = CallerConnections::State;

const Timestamp kStart{seconds(100)};

BOOST_AUTO_TEST_SUITE(callers_connections)

BOOST_AUTO_TEST_CASE(leave_descriptors_for_endpoints_and_files) {
  for (const size_t descriptors : {256u, 2'870u, 8'192u}) {
    const size_t limit = CallerConnections::LimitFor(descriptors);
    BOOST_TEST(2 * limit + 64 <= descriptors);
    BOOST_TEST(3 * limit > descriptors);
    const size_t admin = CallerConnections::AdminLimitFor(descriptors);
    BOOST_TEST(admin >= 16u);
    BOOST_TEST(2 * limit + admin + 48 <= descriptors);
  }
  BOOST_TEST(CallerConnections::LimitFor(10) == 1u);
}

// Guards against clients that use up all descriptors with silent connections,
// so that ordinary callers cannot connect.
BOOST_AUTO_TEST_CASE(above_the_bound_close_those_that_send_nothing) {
  CallerConnections connections(4);
  const auto ending = connections.Admit(kStart).id;
  const auto idle = connections.Admit(kStart).id;
  const auto busy = connections.Admit(kStart).id;
  const auto silent = connections.Admit(kStart).id;
  connections.SetState(idle, State::kBusy, kStart);
  connections.SetState(idle, State::kIdle, kStart);
  connections.SetState(busy, State::kBusy, kStart);
  connections.SetState(ending, State::kEnding, kStart + seconds(2));
  for (const auto expected : {ending, silent}) {
    const auto admission = connections.Admit(kStart + seconds(3));
    BOOST_TEST(admission.admitted);
    BOOST_REQUIRE(admission.close.has_value());
    BOOST_TEST(*admission.close == expected);
    connections.SetState(admission.id, State::kBusy, kStart + seconds(3));
  }
  const auto last = connections.Admit(kStart + seconds(4));
  BOOST_TEST(last.close.value_or(0) == idle);
  BOOST_TEST((last.closed_state == State::kIdle));
  connections.SetState(last.id, State::kBusy, kStart + seconds(4));
  // All are busy now.
  BOOST_TEST(!connections.Admit(kStart + seconds(5)).admitted);
  connections.Remove(busy);
  BOOST_TEST(connections.Admit(kStart + seconds(5)).admitted);
}

BOOST_AUTO_TEST_CASE(that_are_silent_the_longest_are_closed_first) {
  CallerConnections connections(2);
  const auto older = connections.Admit(kStart).id;
  const auto newer = connections.Admit(kStart + milliseconds(1)).id;
  BOOST_TEST(connections.Admit(kStart + seconds(1)).close.value_or(0) == older);
  BOOST_TEST(connections.Admit(kStart + seconds(1)).close.value_or(0) == newer);
  BOOST_TEST(connections.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_body_in_tiny_pieces)

// Guards against connections that keep the gateway busy with very little data.
BOOST_AUTO_TEST_CASE(is_read_with_pauses) {
  ReadPacing pacing;
  for (uint64_t i = 0; i < ReadPacing::kFreeReads; ++i) {
    BOOST_TEST(pacing.Pause().count() == 0);
    pacing.OnRead(1);
  }
  pacing.OnRead(1);
  BOOST_TEST((pacing.Pause() == ReadPacing::kPause));
  // Enough bytes have collected.
  pacing.OnRead(size_t{64} * 1024);
  BOOST_TEST(pacing.Pause().count() == 0);
}

BOOST_AUTO_TEST_CASE(is_refused_only_if_it_is_nearly_all_framing) {
  constexpr size_t kBody = size_t{1} << 20;
  ReadPacing one_byte_chunks;
  one_byte_chunks.OnRead(6 * kBody);
  BOOST_TEST(!one_byte_chunks.HasExcessiveFraming(kBody));
  ReadPacing long_extensions;
  long_extensions.OnRead(kBody);
  BOOST_TEST(long_extensions.HasExcessiveFraming(100));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_minimum_rate_of_a_body)

BOOST_AUTO_TEST_CASE(holds_in_each_period_of_the_grace_time) {
  BodyRate rate({1'024, seconds(5)}, kStart);
  BOOST_TEST(!rate.IsTooSlow(kStart + seconds(4)));
  // Most of a body at once, and then nothing.
  rate.OnBytes(1'000'000);
  BOOST_TEST(!rate.IsTooSlow(kStart + seconds(5)));
  rate.OnBytes(5'119);
  BOOST_TEST(rate.IsTooSlow(kStart + seconds(10)));
}

BOOST_AUTO_TEST_CASE(is_kept_by_a_sender_of_two_kilobytes_a_second) {
  BodyRate rate({1'024, seconds(5)}, kStart);
  for (int second = 1; second <= 60; ++second) {
    rate.OnBytes(2'000);
    BOOST_TEST(!rate.IsTooSlow(kStart + seconds(second)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(log_lines_about_callers_are_bounded_and_counted) {
  LogLineLimit limit;
  uint64_t written = 0;
  for (int i = 0; i < 1'000; ++i)
    written += limit.Take(kStart).has_value() ? 1 : 0;
  BOOST_TEST(written == LogLineLimit::kLinesPerSecond);
  BOOST_TEST(limit.Take(kStart + seconds(1)).value_or(0) ==
             1'000 - LogLineLimit::kLinesPerSecond);
  BOOST_TEST(limit.Take(kStart + seconds(1)).value_or(9) == 0u);
}

}  // namespace
}  // namespace teaselthread
