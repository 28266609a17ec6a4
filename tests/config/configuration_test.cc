#include "libteaselthread/configuration.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "libteaselthread/configuration_command.h"
#include "libteaselthread/configuration_holder.h"

namespace teaselthread {
namespace {

constexpr char kDocument[] =
    "[profile chat]\npriority = 2\n"
    "[profile order]\nrepeatable = no\ndeadline_ms = 15000\n"
    "[model dossier]\nslots = 16\n[service desk]\n"
    "[customers]\nrequests_per_second = 5\nconcurrency = 7\n"
    "[customer big]\nrequests_per_second = 50\n"
    "[fleet]\nzones_out = palermo, catania\n";

std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(TEASELTHREAD_SOURCE_DIR) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

IniDocument ParseIni(std::string_view text) {
  return *IniDocument::Parse(text, "document");
}

BOOST_AUTO_TEST_SUITE(an_operator_writes_a_document)

BOOST_AUTO_TEST_CASE(that_is_parsed_into_values) {
  const auto configuration = Configuration::Parse(kDocument, "document", 7);
  BOOST_REQUIRE(configuration);
  BOOST_TEST(configuration->version() == 7u);
  BOOST_TEST(configuration->FindProfile("chat")->repeatable);
  BOOST_TEST(!configuration->FindProfile("order")->repeatable);
  BOOST_TEST(configuration->FindModel("dossier")->slots == 16);
  BOOST_TEST(configuration->FindService("dossier") == nullptr);
  BOOST_TEST(configuration->LimitsOf("small").concurrency == 7);
  BOOST_TEST(configuration->LimitsOf("big").requests_per_second == 50);
  BOOST_TEST(configuration->ZoneIsOut("catania"));
  BOOST_TEST(!configuration->ZoneIsOut("agrigento"));
}

BOOST_AUTO_TEST_CASE(whose_errors_are_reported_together) {
  const auto configuration = Configuration::Parse(
      "[profile chat]\npriority = 11\nrepeatable = maybe\n"
      "[model dossier]\nload_multiple = 0.5\n[profil x]\n[model]\n",
      "document", 1);
  BOOST_REQUIRE(!configuration);
  BOOST_TEST(configuration.reasons().size() == 5u);
}

BOOST_AUTO_TEST_CASE(in_which_an_empty_section_means_all_defaults) {
  const auto configuration =
      Configuration::Parse("[profile chat]\n[model dossier]\n", "document", 1);
  BOOST_REQUIRE(configuration);
  BOOST_TEST(configuration->FindModel("dossier")->slots == 64);
  BOOST_TEST(!Configuration::Parse("[profile a]\n[profile a]\n", "d", 1));
  BOOST_TEST(!Configuration::Parse("key = 1\n[profile a]\n", "d", 1));
}

BOOST_AUTO_TEST_CASE(that_needs_a_profile_and_has_a_maximum_size) {
  BOOST_TEST(!Configuration::Parse("[model dossier]\n", "document", 1));
  const std::string large(Configuration::kMaxTextBytes + 1, ';');
  const auto oversized = Configuration::Parse(large, "document", 1);
  BOOST_TEST((oversized.last_reason().code == ErrorCode::kOversized));
}

BOOST_AUTO_TEST_CASE(the_examples_are_valid) {
  for (const char* name : {"trinacria", "qalamkar"}) {
    const std::string file =
        std::string("examples/") + name + "/configuration.ini";
    const auto parsed = Configuration::Parse(ReadFile(file), file, 1);
    BOOST_TEST(parsed.has_value(), file);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_holds_the_newest_document)

BOOST_AUTO_TEST_CASE(and_never_returns_to_an_older_one) {
  using UpdateResult = ConfigurationHolder::UpdateResult;
  ConfigurationHolder holder;
  BOOST_TEST(holder.current() == nullptr);
  BOOST_TEST((holder.UpdateIfNewer(5, kDocument) == UpdateResult::kApplied));
  BOOST_TEST(
      (holder.UpdateIfNewer(4, "[profile old]\n") == UpdateResult::kNotNewer));
  BOOST_TEST(
      (holder.UpdateIfNewer(5, "[profile same]\n") == UpdateResult::kNotNewer));
  BOOST_TEST(
      (holder.UpdateIfNewer(6, "[nonsense]\n") == UpdateResult::kRejected));
  BOOST_TEST(holder.version() == 5u);
  BOOST_TEST(holder.current()->FindProfile("chat") != nullptr);
  BOOST_TEST(
      (holder.UpdateIfNewer(7, "[profile new]\n") == UpdateResult::kApplied));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_change_is_a_command_on_the_document)

BOOST_AUTO_TEST_CASE(
    taking_a_zone_out_of_service_and_back_changes_only_the_list) {
  using Change = FleetListCommand::Change;
  const IniDocument before = ParseIni(kDocument);
  const auto out =
      FleetListCommand::ForZone(Change::kAdd, "agrigento")->Apply(before);
  BOOST_REQUIRE(out);
  BOOST_TEST(*out->Find("fleet", "")->Find("zones_out") ==
             "palermo, catania, agrigento");
  const auto twice =
      FleetListCommand::ForZone(Change::kAdd, "agrigento")->Apply(*out);
  BOOST_TEST((*twice == *out));
  const auto in =
      FleetListCommand::ForZone(Change::kRemove, "agrigento")->Apply(*out);
  BOOST_TEST((*in == before));
}

BOOST_AUTO_TEST_CASE(a_new_document_keeps_the_lists_of_what_is_out_of_service) {
  const ReplaceDocumentCommand replace(ParseIni("[profile new]\n"));
  const auto changed = replace.Apply(ParseIni(kDocument));
  BOOST_REQUIRE(changed);
  BOOST_TEST(changed->Find("profile", "new") != nullptr);
  BOOST_TEST(changed->Find("profile", "chat") == nullptr);
  BOOST_TEST(*changed->Find("fleet", "")->Find("zones_out") ==
             "palermo, catania");
}

BOOST_AUTO_TEST_CASE(a_name_with_list_or_section_syntax_is_rejected) {
  for (const char* name : {"", "a,b", "a b", "a\nb", "[x]"}) {
    const auto changed =
        FleetListCommand::ForVm(FleetListCommand::Change::kAdd, name)
            ->Apply(ParseIni(kDocument));
    BOOST_TEST(!changed);
  }
}

BOOST_AUTO_TEST_CASE(the_formatted_text_parses_to_an_equal_document) {
  const IniDocument document = ParseIni(kDocument);
  BOOST_TEST((ParseIni(document.ToText()) == document));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
