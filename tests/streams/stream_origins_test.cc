#include "libteaselthread/streams/stream_origins.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"

namespace teaselthread {
namespace {

using std::chrono::seconds;
using test::At;

constexpr uint32_t kService = 7;
constexpr uint32_t kOther = 8;
constexpr size_t kMaxBatch = 4;
constexpr size_t kMax = 100;

StreamKey Key(uint64_t number) {
  return {number};
}

struct OriginsFixture {
  void Add(uint64_t key, Duration time = {}, uint32_t service = kService) {
    origins.Add(Key(key), service, "v1", At(time));
  }
  std::vector<uint64_t> Taken() {
    return Numbers(origins.TakeToSend(kService, kMaxBatch, At(seconds(9))));
  }
  std::vector<uint64_t> Learned(uint64_t after, size_t max = kMax) const {
    return Numbers(
        origins.LearnedAfter(after, {kService}, max, At(seconds(9))));
  }
  static std::vector<uint64_t> Numbers(
      const std::vector<StreamOrigin>& streams) {
    std::vector<uint64_t> numbers;
    for (const StreamOrigin& stream : streams)
      numbers.push_back(stream.key.hash);
    return numbers;
  }

  using List = std::vector<uint64_t>;
  StreamOrigins origins;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(the_origins_of_streams, OriginsFixture)

BOOST_AUTO_TEST_CASE(are_sent_in_two_batches_each) {
  Add(1);
  Add(2);
  BOOST_TEST((Taken() == List{2, 1}));
  Add(3);
  BOOST_TEST((Taken() == List{3, 2, 1}));
  BOOST_TEST((Taken() == List{3}));
  BOOST_TEST(Taken().empty());
}

// New ones do not wait for those that began before the service was mixed.
BOOST_AUTO_TEST_CASE(are_sent_latest_first_if_there_are_many) {
  for (const uint64_t key : {1, 2, 3, 4, 5, 6, 7})
    Add(key);
  BOOST_TEST((Taken() == List{7, 6, 5, 4}));
  Add(8);
  BOOST_TEST((Taken() == List{8, 3, 2, 1}));
  BOOST_TEST((Taken() == List{8, 3, 2, 1}));
  BOOST_TEST(Taken().empty());
}

// A service becomes mixed some time after its streams have begun.
BOOST_AUTO_TEST_CASE(are_sent_late_unless_they_are_forgotten) {
  Add(1, seconds(1));
  Add(2, seconds(2));
  Add(3, seconds(2), kOther);
  origins.ForgetBefore(At(seconds(2)));
  const auto batch = origins.TakeToSend(kService, kMaxBatch, At(seconds(9)));
  BOOST_REQUIRE(batch.size() == 1);
  BOOST_TEST((batch[0] == StreamOrigin{Key(2), kService, "v1", seconds(7)}));
  BOOST_TEST(origins.size() == 2u);
}

BOOST_AUTO_TEST_CASE(of_other_nodes_are_not_sent) {
  origins.OnReported({Key(1), kService, "v2", seconds(1)}, At(seconds(2)));
  BOOST_TEST(Taken().empty());
  BOOST_TEST((origins.VersionOf(Key(1)) == "v2"));
}

BOOST_AUTO_TEST_CASE(that_are_young_are_sent_again_to_a_new_recorder) {
  for (const uint64_t key : {1, 2, 3})
    Add(key, seconds(key));
  Taken();
  Taken();
  BOOST_TEST(Taken().empty());
  origins.SendAgain(At(seconds(2)));
  BOOST_TEST((Taken() == List{3, 2}));
}

BOOST_AUTO_TEST_CASE(do_not_change_by_what_others_say) {
  Add(1);
  origins.OnReported({Key(1), kService, "v2", seconds(0)}, At(seconds(2)));
  origins.OnRecorded({Key(1), kService, "v2", seconds(0)}, At(seconds(2)));
  BOOST_TEST((origins.VersionOf(Key(1)) == "v1"));
  BOOST_TEST(origins.learned() == 1u);
}

// Guards against records that grow with each gateway that starts: what was read
// from the store was written again.
BOOST_AUTO_TEST_CASE(are_listed_by_when_they_were_learned) {
  origins.OnRecorded({Key(1), kService, "v1", seconds(1)}, At(seconds(5)));
  BOOST_TEST(!origins.HasLearnedAfter(0, {kService}));
  Add(2, seconds(3));
  Add(3, seconds(2), kOther);
  const uint64_t learned = origins.learned();
  BOOST_TEST(!origins.HasLearnedAfter(learned, {kService, kOther}));
  origins.OnReported({Key(4), kService, "v2", seconds(9)}, At(seconds(9)));
  BOOST_TEST(origins.HasLearnedAfter(learned, {kService}));
  BOOST_TEST(!origins.HasLearnedAfter(learned, {kOther}));
  BOOST_TEST((Learned(learned) == List{4}));
  BOOST_TEST((Learned(0) == List{2, 4}));
  BOOST_TEST((Learned(0, 1) == List{4}));
}

BOOST_AUTO_TEST_CASE(make_room_for_younger_ones) {
  for (uint64_t key = 0; key <= StreamOrigins::kMaxStreams; ++key)
    Add(key, seconds(key));
  BOOST_TEST(origins.size() == StreamOrigins::kMaxStreams);
  BOOST_TEST(!origins.VersionOf(Key(0)).has_value());
  BOOST_TEST(Taken().front() == StreamOrigins::kMaxStreams);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread
