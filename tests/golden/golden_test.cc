// Runs complete sessions in virtual time and compares their transcripts with
// the .txt files in this directory.
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "libteaselthread/requests/idempotency_table.h"
#include "libteaselthread/requests/routed_request.h"
#include "support/fake_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::FakeNode;

constexpr char kStream[] = "text/event-stream";

// A node that receives all requests and owns all endpoints, and a transcript.
class Session {
 public:
  Session()
      : node_(test::MakeMember(1, "palermo"),
              {test::MakeEngine("engine-1", "palermo"),
               test::MakeEngine("engine-2", "catania"),
               test::MakeEngine("engine-3", "agrigento"),
               test::MakeService("desk-1", "palermo"),
               test::MakeService("desk-2", "catania")}) {
    AdvanceTime(seconds(3));
    for (const auto& [name, endpoint] : node_.directory.all()) {
      node_.admission.OnEndpointReport(name, {0, EndpointTemperature::kWarm},
                                       now_);
    }
  }

  Timestamp now() const { return now_; }

  void AdvanceTime(Duration duration) {
    node_.admission.Tick(now_);
    now_ += duration;
    node_.admission.Tick(now_);
  }
  void Record(const std::string& line) {
    const auto since =
        std::chrono::duration_cast<milliseconds>(now_ - At(seconds(0)));
    transcript_ << since.count() << " ms  " << line << "\n";
  }
  void Configure(const std::string& fleet_section) {
    node_.Configure(test::DocumentWithModel("slots = 8\nramp_ms = 0\n") +
                    fleet_section);
    Record("configuration " + std::to_string(node_.configuration.version()) +
           (fleet_section.empty() ? "" : ": " + OnOneLine(fleet_section)));
  }

  RoutedRequest Chat(const std::string& chat, const std::string& hint) {
    Record("caller: chat " + chat + (hint.empty() ? "" : " with hint " + hint));
    return RoutedRequest(
        &node_.router, &budget_,
        {EndpointKind::kModelEngine, "dossier", "c/" + chat, hint, {}, {}},
        /*repeatable=*/true);
  }
  RoutedRequest Order() {
    return RoutedRequest(
        &node_.router, &budget_,
        {EndpointKind::kService, "desk", "c/order", "", {}, {}},
        /*repeatable=*/false);
  }

  // Executes the actions. A refusal by the owner is passed back to the request.
  // Returns the endpoint that has admitted or queued the call, if any.
  std::string Execute(RoutedRequest& request, const RouteActions& actions) {
    std::string endpoint;
    for (const RouteAction& action : actions) {
      if (const auto* forward = std::get_if<ForwardCall>(&action)) {
        endpoint = Submit(request, *forward);
      } else if (const auto* head = std::get_if<RelayHead>(&action)) {
        Record("to caller: status " + std::to_string(head->status) + ", hint " +
               head->endpoint);
      } else if (const auto* data = std::get_if<RelayData>(&action)) {
        Record("to caller: " + OnOneLine(data->bytes));
      } else {
        Record("outcome: " + Describe(std::get<FinishCall>(action).outcome));
      }
    }
    return endpoint;
  }

  void End(const std::string& endpoint) {
    node_.admission.End(endpoint, last_call_, now_);
  }

  // Runs a turn that succeeds.
  std::string RunTurn(const std::string& chat, const std::string& hint) {
    RoutedRequest request = Chat(chat, hint);
    std::string endpoint = Execute(request, request.Start(now_));
    AdvanceTime(milliseconds(40));
    Execute(request, request.OnHead(200, kStream, now_));
    Execute(request, request.OnData("data: yes\n\ndata: [DONE]\n\n"));
    End(endpoint);
    return endpoint;
  }

  void Compare(const std::string& name) const {
    std::ifstream file(std::string(TEASELTHREAD_SOURCE_DIR) + "/tests/golden/" +
                       name + ".txt");
    std::ostringstream expected;
    expected << file.rdbuf();
    BOOST_TEST(transcript_.str() == expected.str(), "session "
                                                        << name << " was\n"
                                                        << transcript_.str());
  }

 private:
  static std::string OnOneLine(std::string text) {
    while (!text.empty() && text.back() == '\n')
      text.pop_back();
    for (char& c : text)
      c = c == '\n' ? '|' : c;
    return text;
  }

  std::string Submit(RoutedRequest& request, const ForwardCall& forward) {
    std::string endpoint = forward.placement.endpoint;
    const AdmissionDecision decision = node_.admission.Submit(
        endpoint,
        {++last_call_, "c", 5, now_ + seconds(60), forward.placement.max_wait},
        now_);
    const std::string how =
        decision.verdict == AdmissionVerdict::kAdmitted ? "admitted"
        : decision.verdict == AdmissionVerdict::kQueued
            ? "queued"
            : "refused, " + std::string(ToString(decision.reason));
    Record("to " + endpoint + ", resume from " +
           std::to_string(forward.resume_from) + ": " + how);
    if (decision.verdict != AdmissionVerdict::kRefused)
      return endpoint;
    return Execute(request, request.OnNotRun(
                                {decision.reason, decision.retry_after}, now_));
  }

  Timestamp now_ = At(seconds(0));
  FakeNode node_;
  RetryBudget budget_;
  CallId last_call_ = 0;
  std::ostringstream transcript_;
};

BOOST_AUTO_TEST_SUITE(sessions_match_their_golden_files)

BOOST_AUTO_TEST_CASE(
    a_chat_over_several_turns_while_its_zone_is_taken_out_of_service) {
  Session session;
  const std::string initial_endpoint = session.RunTurn("4711", "");
  session.AdvanceTime(seconds(20));
  session.RunTurn("4711", initial_endpoint);
  RoutedRequest running = session.Chat("4711", initial_endpoint);
  const std::string endpoint =
      session.Execute(running, running.Start(session.now()));
  session.AdvanceTime(milliseconds(40));
  session.Execute(running, running.OnHead(200, kStream, session.now()));
  session.Execute(running, running.OnData("data: the dossier\n\ndata: is"));
  session.Configure("[fleet]\nzones_out = agrigento\n");
  session.AdvanceTime(milliseconds(100));
  session.Execute(running, running.OnData(" complete\n\ndata: [DONE]\n\n"));
  session.End(endpoint);
  const std::string moved_endpoint = session.RunTurn("4711", initial_endpoint);
  session.Configure("");
  session.RunTurn("4711", moved_endpoint);
  session.Compare("chat_with_zone_move");
}

BOOST_AUTO_TEST_CASE(an_order_whose_response_is_lost) {
  Session session;
  IdempotencyTable table(Incarnation(1),
                         {10, 1'000, seconds(600), WallSeconds(3'600)});
  const std::string key =
      Ticket(Incarnation(1), WallSeconds(1'000), 7).ToString() + "-1";
  const auto begin = [&] {
    return table.Begin("c", key, 1, WallSeconds(1'000), At(seconds(3)));
  };
  session.Record("caller: order " + key);
  BOOST_REQUIRE((begin().verdict == KeyVerdict::kRun));
  RoutedRequest order = session.Order();
  const std::string endpoint =
      session.Execute(order, order.Start(session.now()));
  session.AdvanceTime(milliseconds(200));
  session.Record("the connection to " + endpoint + " breaks");
  session.Execute(order,
                  order.OnLost(UnknownReason::kConnectionLost, session.now()));
  table.MarkUnknown("c", key, UnknownReason::kConnectionLost);
  session.AdvanceTime(seconds(1));
  session.Record("caller: order " + key);
  const KeyDecision repeat = begin();
  BOOST_REQUIRE((repeat.verdict == KeyVerdict::kUnknown));
  session.Record("outcome: may have run: " +
                 std::string(ToString(*repeat.unknown)));
  session.Compare("order_with_lost_reply");
}

BOOST_AUTO_TEST_CASE(a_chat_without_an_endpoint_in_service) {
  Session session;
  std::vector<RoutedRequest> running;
  for (int i = 0; i < 3; ++i) {
    running.push_back(session.Chat("busy-" + std::to_string(i), ""));
    session.Execute(running.back(), running.back().Start(session.now()));
  }
  session.Configure("[fleet]\nzones_out = palermo, catania, agrigento\n");
  RoutedRequest refused = session.Chat("late", "");
  session.Execute(refused, refused.Start(session.now()));
  session.Compare("refusal");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
