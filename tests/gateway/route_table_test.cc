#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/routes/route_table.h"

namespace teaselthread {
namespace {

std::string Find(const RouteTable& table,
                 std::string_view host,
                 std::string_view path) {
  const Route* route = table.FindRoute(host, path);
  return route ? route->name : "none";
}

BOOST_AUTO_TEST_SUITE(a_route_table)

BOOST_AUTO_TEST_CASE(finds_the_route_of_host_and_path) {
  const RouteTable table = test::MakeRoutes();
  BOOST_TEST(Find(table, "shop.example", "/chat/7") == "chat");
  BOOST_TEST(Find(table, "SHOP.example:8080", "/order/") == "order");
  BOOST_TEST(Find(table, "shop.example", "/chat") == "none");
  BOOST_TEST(Find(table, "shop.example", "/chats/7") == "none");
  BOOST_TEST(Find(table, "other.example", "/chat/7") == "none");
  BOOST_TEST(Find(table, "shop.example", "") == "none");
}

BOOST_AUTO_TEST_CASE(prefers_the_longest_prefix) {
  RouteTableParts parts = test::MakeRoutes().parts();
  Route inner = parts.routes[0];
  inner.name = "inner";
  inner.path_prefix = "/chat/urgent/";
  Route all = inner;
  all.name = "all";
  all.path_prefix = "/";
  parts.routes.push_back(inner);
  parts.routes.push_back(all);
  const RouteTable table = RouteTable::Create(parts).TakeValue();
  BOOST_TEST(Find(table, "shop.example", "/chat/urgent/1") == "inner");
  BOOST_TEST(Find(table, "shop.example", "/chat/urgency") == "chat");
  BOOST_TEST(Find(table, "shop.example", "/x/y/z") == "all");
}

BOOST_AUTO_TEST_CASE(is_not_created_with_a_route_to_an_unknown_service) {
  RouteTableParts parts = test::MakeRoutes().parts();
  parts.routes[0].services = {{"nonsense", 1}};
  BOOST_TEST(!RouteTable::Create(parts).has_value());
}

BOOST_AUTO_TEST_CASE(finds_the_customer_of_a_key) {
  const RouteTable table = test::MakeRoutes();
  BOOST_TEST(table.FindCustomer("key-1")->name == "office");
  BOOST_TEST(!table.FindCustomer("key-2"));
}

BOOST_AUTO_TEST_CASE(splits_a_routes_requests_by_weight) {
  Route route = test::MakeRoutes().parts().routes[0];
  route.services = {{"pool", 90}, {"desk", 10}};
  int desk = 0;
  for (int i = 0; i < 10'000; ++i)
    desk += PickService(route, "id-" + std::to_string(i)) == "desk" ? 1 : 0;
  BOOST_TEST(desk > 850);
  BOOST_TEST(desk < 1'150);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
