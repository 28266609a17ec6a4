#define BOOST_TEST_MODULE teaselthread
#include <boost/test/unit_test.hpp>
