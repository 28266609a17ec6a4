#include "teaselthread/gateway/buffer_quota.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace teaselthread {
namespace {

BOOST_AUTO_TEST_SUITE(a_buffer_quota)

BOOST_AUTO_TEST_CASE(is_shared_by_all_responses) {
  BufferQuota quota(100);
  BufferQuota::Reservation first(&quota);
  std::optional<BufferQuota::Reservation> second(&quota);
  BOOST_TEST(first.Grow(40));
  BOOST_TEST(second->Grow(60));
  BOOST_TEST(!first.Grow(1));
  BOOST_TEST(quota.used() == 100u);
  // When one response ends, another one may use its share.
  second.reset();
  BOOST_TEST(quota.used() == 40u);
  BOOST_TEST(first.Grow(60));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
