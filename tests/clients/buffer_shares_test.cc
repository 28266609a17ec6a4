#include "libteaselthread/callers/buffer_shares.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using HolderId = BufferShares::HolderId;

constexpr size_t kMegabyte = size_t{1} << 20;

struct SharesFixture {
  // A sender whose bytes have arrived at `now`.
  HolderId Send(const std::string& caller, size_t bytes) {
    const HolderId id = shares.Add(caller, true, now);
    BOOST_REQUIRE(shares.Grow(id, bytes, now).granted);
    shares.OnProgress(id, bytes, now);
    return id;
  }
  HolderId Start(const std::string& caller, size_t expected = 0) {
    const HolderId id = shares.Add(caller, true, now);
    if (expected > 0)
      shares.SetExpected(id, expected);
    return id;
  }
  // Time after which a sender without progress is slow.
  void LetSendersStall() { now += seconds(3); }

  Timestamp now{seconds(100)};
  BufferShares shares{8 * kMegabyte};
};

BOOST_FIXTURE_TEST_SUITE(memory_for_bodies, SharesFixture)

BOOST_AUTO_TEST_CASE(is_counted_as_it_arrives_and_released_at_the_end) {
  const HolderId id = Send("office", kMegabyte);
  BOOST_TEST(shares.used() == kMegabyte);
  BOOST_TEST(shares.Grow(id, kMegabyte, now).granted);
  shares.Shrink(id, kMegabyte / 2);
  BOOST_TEST(shares.HeldBy(id) == 3 * kMegabyte / 2);
  shares.Remove(id);
  BOOST_TEST(shares.used() == 0u);
}

// Guards against a reserve that keeps a body of the maximum size from being
// served on the smallest machine.
BOOST_AUTO_TEST_CASE(is_all_available_to_the_only_holder) {
  const HolderId id = Start("office");
  BOOST_TEST(shares.Grow(id, 8 * kMegabyte, now).granted);
  BOOST_TEST(!shares.Grow(id, 1, now).granted);
}

BOOST_AUTO_TEST_SUITE(when_it_is_short)

// Guards against the fault of a quota that large bodies fill alone: ordinary
// callers were refused for 15 s.
BOOST_AUTO_TEST_CASE(has_a_reserve_for_small_and_fast_requests) {
  Send("crowd", 5 * kMegabyte);
  Send("crowd", 2 * kMegabyte);
  BOOST_TEST(!shares.Grow(Start("crowd"), kMegabyte / 2, now).granted);
  const HolderId small = Start("office", 24'000);
  BOOST_TEST(shares.Grow(small, 24'000, now).granted);
  // It keeps the right only while it is small and fast.
  BOOST_TEST(!shares.Grow(small, BufferShares::kSmallBytes, now).granted);
  now += BufferShares::kFastTime;
  BOOST_TEST(!shares.Grow(small, 1'000, now).granted);
}

// Guards against a crowd whose bodies have only begun to arrive.
BOOST_AUTO_TEST_CASE(has_no_reserve_for_the_beginning_of_a_large_body) {
  Send("crowd", 5 * kMegabyte);
  Send("crowd", 2 * kMegabyte);
  BOOST_TEST(!shares.Grow(Start("crowd", kMegabyte), 8'192, now).granted);
  const HolderId in_chunks = Start("office");
  BOOST_TEST(
      shares.Grow(in_chunks, BufferShares::kSmallBytesInChunks, now).granted);
  BOOST_TEST(!shares.Grow(in_chunks, 1, now).granted);
}

BOOST_AUTO_TEST_CASE(is_taken_from_the_sender_with_the_least_progress) {
  const HolderId trickling = Send("crowd", 2 * kMegabyte);
  const HolderId stalled = Send("crowd", 2 * kMegabyte);
  const HolderId steady = Send("crowd", 2 * kMegabyte);
  LetSendersStall();
  shares.OnProgress(trickling, 100, now);
  shares.OnProgress(steady, BufferShares::kSlowBytes, now);
  const auto first = shares.Grow(Start("office"), 2 * kMegabyte, now);
  BOOST_TEST(first.granted);
  BOOST_TEST(first.reclaimed == std::vector<HolderId>{stalled},
             boost::test_tools::per_element());
  const auto second = shares.Grow(Start("office"), 2 * kMegabyte, now);
  BOOST_TEST(second.reclaimed == std::vector<HolderId>{trickling},
             boost::test_tools::per_element());
  // Nobody loses a body that is still arriving.
  BOOST_TEST(!shares.Grow(Start("office"), 2 * kMegabyte, now).granted);
  BOOST_TEST(shares.HeldBy(steady) == 2 * kMegabyte);
  // One that has lost its share cannot get it back.
  BOOST_TEST(!shares.Grow(stalled, 1, now).granted);
}

BOOST_AUTO_TEST_CASE(is_taken_from_the_caller_that_holds_the_most) {
  Send("crowd", 2 * kMegabyte);
  const HolderId other = Send("shop", 2 * kMegabyte);
  Send("crowd", 2 * kMegabyte);
  LetSendersStall();
  const auto result = shares.Grow(Start("office"), 2 * kMegabyte, now);
  BOOST_TEST(result.granted);
  BOOST_TEST(shares.HeldBy(other) == 2 * kMegabyte);
}

// Guards against the reset of streams with few events whose callers read them.
BOOST_AUTO_TEST_CASE(is_not_taken_from_streams_that_are_read) {
  shares.Pin(Send("crowd", 6 * kMegabyte));
  const HolderId stream = Start("office");
  for (int event = 0; event < 10; ++event) {
    now += seconds(1);
    BOOST_TEST(shares.Grow(stream, 100, now).granted);
    shares.OnProgress(stream, 100, now);
    shares.Shrink(stream, 100);
  }
  BOOST_TEST(shares.Grow(stream, 100, now).granted);
  // The 100 bytes of the stream are all that is missing.
  BOOST_TEST(!shares.Grow(Start("office"), kMegabyte, now).granted);
  BOOST_TEST(shares.HeldBy(stream) == 100u);
}

BOOST_AUTO_TEST_CASE(is_not_taken_from_complete_bodies) {
  const HolderId complete = Send("office", 7 * kMegabyte);
  shares.Pin(complete);
  LetSendersStall();
  BOOST_TEST(!shares.Grow(Start("office"), kMegabyte, now).granted);
  BOOST_TEST(shares.HeldBy(complete) == 7 * kMegabyte);
}

BOOST_AUTO_TEST_CASE(is_not_taken_by_slow_senders) {
  Send("crowd", 6 * kMegabyte);
  const HolderId slow = Send("shop", kMegabyte / 2);
  LetSendersStall();
  BOOST_TEST(!shares.Grow(slow, kMegabyte, now).granted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_bounded_for_all_slow_senders_of_a_caller) {
  const HolderId first = Send("crowd", kMegabyte);
  Send("crowd", kMegabyte);
  LetSendersStall();
  BOOST_TEST(!shares.Grow(first, 1, now).granted);
  BOOST_TEST(shares.Grow(Start("crowd"), kMegabyte, now).granted);
}

BOOST_AUTO_TEST_CASE(may_fit_if_slow_senders_lose_theirs) {
  Send("crowd", 6 * kMegabyte);
  BOOST_TEST(!shares.MayFit(2 * kMegabyte, now));
  BOOST_TEST(shares.MayFit(BufferShares::kSmallBytes, now));
  LetSendersStall();
  BOOST_TEST(shares.MayFit(8 * kMegabyte, now));
}

BOOST_AUTO_TEST_SUITE_END()

// Replays the load: 300 senders with bodies that stop one byte short, in front
// of ordinary requests. Guards against crowds that take all memory.
BOOST_FIXTURE_TEST_CASE(three_hundred_senders_that_stop_short, SharesFixture) {
  constexpr size_t kPiece = 8'192;
  std::vector<HolderId> crowd;
  for (int i = 0; i < 300; ++i)
    crowd.push_back(Start("crowd", 2 * kMegabyte));
  for (size_t sent = 0; sent < kMegabyte; sent += kPiece) {
    now += milliseconds(5);
    for (const HolderId id : crowd) {
      if (!shares.Grow(id, kPiece, now).granted)
        shares.Remove(id);
      shares.OnProgress(id, kPiece, now);
    }
    BOOST_TEST(shares.used() <= shares.limit() - shares.reserve());
    const HolderId ordinary = Start("office", 24'000);
    BOOST_TEST(shares.Grow(ordinary, 24'000, now).granted);
    shares.Remove(ordinary);
  }
  LetSendersStall();
  // A large request of an ordinary caller gets what the crowd holds.
  BOOST_TEST(shares.Grow(Start("office"), 4 * kMegabyte, now).granted);
}

}  // namespace
}  // namespace teaselthread
