#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include "teaselthread/gateway/gateway_settings.h"

namespace teaselthread {
namespace {

constexpr char kRequired[] =
    "[gateway]\n"
    "name = edge-1\n"
    "zone = a\n"
    "front_listen = 192.0.2.1:8000\n"
    "readiness_listen = 192.0.2.1:8001\n"
    "directory_listen = 192.0.2.1:8002\n"
    "metrics_listen = 192.0.2.1:8003\n"
    "peer_listen = 192.0.2.1:8004\n"
    "store = 192.0.2.9:7000\n";

std::string ReadSourceFile(const std::string& name) {
  std::ifstream file(std::string(TEASELTHREAD_SOURCE_DIR) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Maps "section key" to the value.
using Values = std::map<std::string, std::string>;

Values ValuesOf(const std::string& text) {
  Values values;
  const auto document = IniDocument::Parse(text, "settings");
  BOOST_REQUIRE(document);
  for (const IniSection& section : document->sections()) {
    for (const IniEntry& entry : section.entries)
      values[section.Title() + " " + entry.key] = entry.value;
  }
  return values;
}

Values DocumentedDefaults() {
  Values values;
  const std::string page = ReadSourceFile("docs/SETTINGS.md");
  const std::regex row(R"(\n\| (\w+) \| `(\w+)` \| ([^|]+) \|)");
  for (std::sregex_iterator found(page.begin(), page.end(), row), end;
       found != end; ++found) {
    values[(*found)[1].str() + " " + (*found)[2].str()] = (*found)[3];
  }
  return values;
}

BOOST_AUTO_TEST_SUITE(settings_of_a_gateway)

BOOST_AUTO_TEST_CASE(are_unchanged_after_printing_and_parsing) {
  const auto settings = GatewaySettings::Parse(
      std::string(kRequired) +
          "log_level = warn\naddress_ttl_ms = 900\n"
          "[peers]\nseeds = 192.0.2.2:8004, 192.0.2.3:8004\n"
          "heartbeat_interval_ms = 125\n"
          "[limits]\nretry_ratio = 0.15\nleaving_grace_s = 11\n",
      "test");
  BOOST_REQUIRE(settings);
  const auto again = GatewaySettings::Parse(settings->ToText(), "printed");
  BOOST_REQUIRE(again);
  BOOST_TEST(again->ToText() == settings->ToText());
  BOOST_TEST(again->seeds().size() == 2u);
  BOOST_TEST((again->limits() == settings->limits()));
  BOOST_TEST((again->heartbeat_interval() == settings->heartbeat_interval()));
}

BOOST_AUTO_TEST_CASE(are_all_documented_with_their_defaults) {
  const auto settings = GatewaySettings::Parse(kRequired, "test");
  BOOST_REQUIRE(settings);
  const Values printed = ValuesOf(settings->ToText());
  const Values documented = DocumentedDefaults();
  BOOST_TEST(printed.size() == documented.size());
  for (const auto& [key, value] : printed) {
    BOOST_TEST_CONTEXT(key) {
      BOOST_REQUIRE(documented.contains(key));
      const std::string& text = documented.at(key);
      if (text != "required")
        BOOST_TEST(text == (value.empty() ? "none" : value));
    }
  }
}

// The platform's template, filled in for a deployment with or without rollouts.
std::string RenderTemplate(bool has_rollouts) {
  std::string text = ReadSourceFile("deploy/gateway.ini.template");
  const std::regex section(
      "\\{\\{#bounds[.]expose_share\\}\\}([^]*)"
      "\\{\\{/bounds[.]expose_share\\}\\}");
  text = std::regex_replace(text, section, has_rollouts ? "$1" : "");
  const std::regex share("\\{\\{bounds[.]expose_share\\}\\}");
  text = std::regex_replace(text, share, "0.1");
  const std::map<std::string, std::string> substitutions = {
      {"bounds[.][a-z_]+", "8"},
      {"limits[.]memory_mb", "260"},
      {"ip", "192.0.2.1"},
      {"port_range[.]0", "8003"},
      {"seeds", "192.0.2.1:8004,192.0.2.2:8004"},
      {"node_name|zone", "a"},
      {"bind[.][a-z_]+|platform[.]address", "192.0.2.1:8000"}};
  for (const auto& [name, value] : substitutions) {
    const std::regex placeholder("\\{\\{(" + name + ")\\}\\}");
    text = std::regex_replace(text, placeholder, value);
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(report_all_errors_at_once)

BOOST_AUTO_TEST_CASE(for_missing_unknown_and_out_of_range_values) {
  const auto settings = GatewaySettings::Parse(
      "[gateway]\nname = edge-1\nzone = a\nfront_listen = nowhere\n"
      "readiness_listen = 192.0.2.1:8001\ndirectory_listen = 192.0.2.1:8002\n"
      "metrics_listen = 192.0.2.1:8003\npeer_listen = 192.0.2.1:8004\n"
      "log_level = loud\n"
      "[limits]\nretry_ratio = -1\nretries = 7\n"
      "[weather]\nrain = yes\n",
      "test");
  BOOST_REQUIRE(!settings);
  // Unknown section, missing store, malformed address, unknown log level, ratio
  // out of range, unknown key.
  BOOST_TEST(settings.reasons().size() == 6u);
}

// The section for rollouts is rendered only where its bounds exist.
BOOST_AUTO_TEST_CASE(and_none_for_the_platforms_template) {
  for (const bool has_rollouts : {false, true}) {
    const auto settings =
        GatewaySettings::Parse(RenderTemplate(has_rollouts), "template");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->rollouts().enabled() == has_rollouts);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
