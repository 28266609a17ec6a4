#include "libteaselthread/settings.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace teaselthread {
namespace {

constexpr char kMinimalSettings[] =
    "[node]\nname = entry-1\nzone = palermo\n"
    "caller_listen = 127.0.0.1:8001\npeer_listen = 127.0.0.1:9001\n"
    "[platform]\naddress = 127.0.0.1:7000\n";

BOOST_AUTO_TEST_SUITE(a_node_reads_its_settings)

BOOST_AUTO_TEST_CASE(a_minimal_file_gets_the_defaults) {
  const auto settings = Settings::Parse(kMinimalSettings, "node.ini");
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings->name() == "entry-1");
  BOOST_TEST(settings->caller_listen().ToString() == "127.0.0.1:8001");
  BOOST_TEST(settings->caller_limits().max_body_bytes == 1'048'576u);
  BOOST_TEST(settings->seeds().empty());
}

BOOST_AUTO_TEST_SUITE(and_reports_all_errors_together)

BOOST_AUTO_TEST_CASE(with_file_section_key_and_expected_value) {
  const auto settings = Settings::Parse(
      "[node]\nname = entry-1\ncaller_listen = localhost:8001\n"
      "peer_listen = 127.0.0.1:99999\nlog_level = loud\ncolour = red\n"
      "[platform]\naddress = 127.0.0.1:7000\n"
      "[timing]\nheartbeat_interval_ms = 1\nlease_interval_ms = soon\n"
      "[extras]\n",
      "node.ini");
  BOOST_REQUIRE(!settings);
  std::set<std::string> found;
  for (const Error& error : settings.reasons())
    found.insert(Describe(error));
  // NOLINTBEGIN(bugprone-suspicious-missing-comma)
  const std::set<std::string> expected = {
      "node.ini: [node] zone: a value is required (missing-key)",
      "node.ini: [node] caller_listen: expected an IP address and a port, "
      "found "
      "'localhost:8001' (bad-value)",
      "node.ini: [node] peer_listen: expected an IP address and a port, found "
      "'127.0.0.1:99999' (bad-value)",
      "node.ini: [node] log_level: expected debug, info, warn or error, found "
      "'loud' (bad-value)",
      "node.ini: [node] colour: unknown key in this section (unknown-key)",
      "node.ini: [timing] heartbeat_interval_ms: expected 10 to 600000, found "
      "1 "
      "(out-of-range)",
      "node.ini: [timing] lease_interval_ms: expected an integer, found "
      "'soon' (bad-value)",
      "node.ini: [extras]: no such section in a node's settings "
      "(unknown-section)"};
  // NOLINTEND(bugprone-suspicious-missing-comma)
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_text_that_is_not_ini_is_a_syntax_error_with_its_line) {
  const auto settings = Settings::Parse("[node]\nname\n", "node.ini");
  BOOST_REQUIRE(!settings);
  BOOST_TEST((settings.last_reason().code == ErrorCode::kSyntax));
  BOOST_TEST(settings.last_reason().detail.find("line 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_an_unreadable_file) {
  const auto settings = Settings::Load("/nowhere/node.ini");
  BOOST_REQUIRE(!settings);
  BOOST_TEST((settings.last_reason().code == ErrorCode::kUnreadableFile));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(addresses_are_ipv4_or_ipv6_with_a_port) {
  BOOST_TEST(SocketAddress::Parse("[::1]:80")->ToString() == "[::1]:80");
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                           "host:80", "127.0.0.1:8x", ":80", "1.2.3:4"})
    BOOST_TEST(!SocketAddress::Parse(text));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
