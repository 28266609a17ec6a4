// Runs whole sessions in virtual time and compares what was said with the
// files beside this one, line by line.
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

// One node that is entry and owner for everything, and a transcript.
class Session {
 public:
  Session()
      : node_(test::MakeMember(1, "palermo"),
              {test::MakeEngine("engine-1", "palermo"),
               test::MakeEngine("engine-2", "catania"),
               test::MakeEngine("engine-3", "agrigento"),
               test::MakeService("desk-1", "palermo"),
               test::MakeService("desk-2", "catania")}) {
    Pass(seconds(3));
    for (const auto& [name, endpoint] : node_.directory.all()) {
      node_.admission.OnEndpointReport(name, {0, EndpointTemperature::kWarm},
                                       now_);
    }
  }

  Timestamp now() const { return now_; }

  void Pass(Duration duration) {
    node_.admission.Tick(now_);
    now_ += duration;
    node_.admission.Tick(now_);
  }
  void Note(const std::string& line) {
    const auto since =
        std::chrono::duration_cast<milliseconds>(now_ - At(seconds(0)));
    transcript_ << since.count() << " ms  " << line << "\n";
  }
  void Configure(const std::string& fleet_section) {
    node_.Configure(test::DocumentWithModel("slots = 8\nramp_ms = 0\n") +
                    fleet_section);
    Note("configuration " + std::to_string(node_.configuration.version()) +
         (fleet_section.empty() ? "" : ": " + Flat(fleet_section)));
  }

  RoutedRequest Chat(const std::string& chat, const std::string& hint) {
    Note("caller: chat " + chat + (hint.empty() ? "" : " with hint " + hint));
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

  // Carries the actions out; calls that an owner refuses go back into the
  // request. Returns the endpoint that has the call, if any.
  std::string Carry(RoutedRequest& request, const RouteActions& actions) {
    std::string endpoint;
    for (const RouteAction& action : actions) {
      if (const auto* forward = std::get_if<ForwardCall>(&action)) {
        endpoint = Submit(request, *forward);
      } else if (const auto* head = std::get_if<RelayHead>(&action)) {
        Note("to caller: status " + std::to_string(head->status) + ", hint " +
             head->endpoint);
      } else if (const auto* data = std::get_if<RelayData>(&action)) {
        Note("to caller: " + Flat(data->bytes));
      } else {
        Note("outcome: " + Describe(std::get<FinishCall>(action).outcome));
      }
    }
    return endpoint;
  }

  void End(const std::string& endpoint) {
    node_.admission.End(endpoint, last_call_, now_);
  }

  // A turn that goes well.
  std::string WholeTurn(const std::string& chat, const std::string& hint) {
    RoutedRequest request = Chat(chat, hint);
    std::string endpoint = Carry(request, request.Start(now_));
    Pass(milliseconds(40));
    Carry(request, request.OnHead(200, kStream, now_));
    Carry(request, request.OnData("data: yes\n\ndata: [DONE]\n\n"));
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
  static std::string Flat(std::string text) {
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
    Note("to " + endpoint + ", resume from " +
         std::to_string(forward.resume_from) + ": " + how);
    if (decision.verdict != AdmissionVerdict::kRefused)
      return endpoint;
    return Carry(request, request.OnNotRun(
                              {decision.reason, decision.retry_after}, now_));
  }

  Timestamp now_ = At(seconds(0));
  FakeNode node_;
  RetryBudget budget_;
  CallId last_call_ = 0;
  std::ostringstream transcript_;
};

BOOST_AUTO_TEST_SUITE(whole_sessions_are_as_written)

BOOST_AUTO_TEST_CASE(a_chat_over_several_turns_while_its_zone_moves) {
  Session session;
  const std::string home = session.WholeTurn("4711", "");
  session.Pass(seconds(20));
  session.WholeTurn("4711", home);
  RoutedRequest running = session.Chat("4711", home);
  const std::string endpoint =
      session.Carry(running, running.Start(session.now()));
  session.Pass(milliseconds(40));
  session.Carry(running, running.OnHead(200, kStream, session.now()));
  session.Carry(running, running.OnData("data: the dossier\n\ndata: is"));
  session.Configure("[fleet]\nzones_out = agrigento\n");
  session.Pass(milliseconds(100));
  session.Carry(running, running.OnData(" complete\n\ndata: [DONE]\n\n"));
  session.End(endpoint);
  const std::string away = session.WholeTurn("4711", home);
  session.Configure("");
  session.WholeTurn("4711", away);
  session.Compare("chat_with_zone_move");
}

BOOST_AUTO_TEST_CASE(an_order_whose_reply_is_lost) {
  Session session;
  IdempotencyTable table(Incarnation(1),
                         {10, 1'000, seconds(600), WallSeconds(3'600)});
  const std::string key =
      Ticket(Incarnation(1), WallSeconds(1'000), 7).ToString() + "-1";
  const auto begin = [&] {
    return table.Begin("c", key, 1, WallSeconds(1'000), At(seconds(3)));
  };
  session.Note("caller: order " + key);
  BOOST_REQUIRE((begin().verdict == KeyVerdict::kRun));
  RoutedRequest order = session.Order();
  const std::string endpoint = session.Carry(order, order.Start(session.now()));
  session.Pass(milliseconds(200));
  session.Note("the connection to " + endpoint + " breaks");
  session.Carry(order,
                order.OnLost(UnknownReason::kConnectionLost, session.now()));
  table.LoseTrack("c", key, UnknownReason::kConnectionLost);
  session.Pass(seconds(1));
  session.Note("caller: order " + key);
  const KeyDecision repeat = begin();
  BOOST_REQUIRE((repeat.verdict == KeyVerdict::kUnknown));
  session.Note("outcome: may have run: " +
               std::string(ToString(*repeat.unknown)));
  session.Compare("order_with_lost_reply");
}

BOOST_AUTO_TEST_CASE(a_chat_that_finds_no_room) {
  Session session;
  std::vector<RoutedRequest> running;
  for (int i = 0; i < 3; ++i) {
    running.push_back(session.Chat("busy-" + std::to_string(i), ""));
    session.Carry(running.back(), running.back().Start(session.now()));
  }
  session.Configure("[fleet]\nzones_out = palermo, catania, agrigento\n");
  RoutedRequest refused = session.Chat("late", "");
  session.Carry(refused, refused.Start(session.now()));
  session.Compare("refusal");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
