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

BOOST_AUTO_TEST_SUITE(operators_write_a_document)

BOOST_AUTO_TEST_CASE(that_is_read_into_values) {
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

BOOST_AUTO_TEST_CASE(whose_errors_are_all_listed) {
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

BOOST_AUTO_TEST_CASE(and_that_has_at_least_one_profile_and_a_size_limit) {
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

BOOST_AUTO_TEST_CASE(and_never_goes_back) {
  using Offer = ConfigurationHolder::Offer;
  ConfigurationHolder holder;
  BOOST_TEST(holder.current() == nullptr);
  BOOST_TEST((holder.Consider(5, kDocument) == Offer::kTaken));
  BOOST_TEST((holder.Consider(4, "[profile old]\n") == Offer::kNotNewer));
  BOOST_TEST((holder.Consider(5, "[profile same]\n") == Offer::kNotNewer));
  BOOST_TEST((holder.Consider(6, "[nonsense]\n") == Offer::kRejected));
  BOOST_TEST(holder.version() == 5u);
  BOOST_TEST(holder.current()->FindProfile("chat") != nullptr);
  BOOST_TEST((holder.Consider(7, "[profile new]\n") == Offer::kTaken));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_change_is_a_command_on_the_document)

BOOST_AUTO_TEST_CASE(taking_a_zone_out_and_in_again_changes_only_that) {
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

BOOST_AUTO_TEST_CASE(a_new_document_keeps_what_is_out_of_service) {
  const ReplaceDocumentCommand replace(ParseIni("[profile new]\n"));
  const auto changed = replace.Apply(ParseIni(kDocument));
  BOOST_REQUIRE(changed);
  BOOST_TEST(changed->Find("profile", "new") != nullptr);
  BOOST_TEST(changed->Find("profile", "chat") == nullptr);
  BOOST_TEST(*changed->Find("fleet", "")->Find("zones_out") ==
             "palermo, catania");
}

BOOST_AUTO_TEST_CASE(a_name_that_would_break_the_list_is_refused) {
  for (const char* name : {"", "a,b", "a b", "a\nb", "[x]"}) {
    const auto changed =
        FleetListCommand::ForVm(FleetListCommand::Change::kAdd, name)
            ->Apply(ParseIni(kDocument));
    BOOST_TEST(!changed);
  }
}

BOOST_AUTO_TEST_CASE(the_text_of_a_document_reads_back_as_the_same) {
  const IniDocument document = ParseIni(kDocument);
  BOOST_TEST((ParseIni(document.ToText()) == document));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
