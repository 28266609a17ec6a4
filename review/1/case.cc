// Some callers leave just before the end of their streams. The gateway then
// uses a connection to a worker that it has freed already, and crashes.

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

#include "../harness/deployment.h"

namespace review {
namespace {

constexpr int kCallers = 120;
// Of ten callers of streams, this many leave, as in the sites' days.
constexpr int kLeavingTenths = 3;
// Callers that send one order after another.
constexpr int kOrderingCallers = 18;
constexpr double kOrderTime = 0.05;
constexpr int kOrderDeadlineMs = 1'500;
constexpr double kLongestRun = 90;
constexpr int kDeadlineMs = 10'000;

// A stream: its first event comes after the prefill, and its end shortly after
// the last event.
constexpr double kPrefillTime = 0.1;
constexpr double kEventInterval = 0.04;
constexpr int kEvents = 4;
constexpr double kLongestTail = 0.0003;

// Callers of streams come in waves, and those of a wave within this time.
constexpr double kWaveInterval = 0.45;
constexpr double kStaggerTime = 0.02;

constexpr double kRestartDelay = 0.5;
// The rule allows this many requests without an answer.
constexpr int64_t kAllowedLosses = 3;

struct Totals {
  std::atomic<int> left = 0;
  // Requests on kept connections of callers that stayed, by how they ended.
  std::atomic<int> complete = 0;
  std::atomic<int> cut = 0;
  std::mutex mutex;
  std::set<std::string> unanswered;  // of those cut, that got no status either
  std::set<std::string> passed_on;   // requests that have reached a worker

  // The number of those unanswered that have reached a worker.
  int64_t Lost() {
    const std::lock_guard lock(mutex);
    return std::count_if(
        unanswered.begin(), unanswered.end(),
        [this](const std::string& id) { return passed_on.contains(id); });
  }
};

double RandomTime(double longest) {
  thread_local std::mt19937 random{std::random_device()()};
  return std::uniform_real_distribution<double>(0, longest)(random);
}

void AwaitNextWave() {
  const double wave = std::ceil(Now() / kWaveInterval);
  SleepUntil(wave * kWaveInterval + RandomTime(kStaggerTime));
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  (void)std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string BeginRun(Record& record,
                     Totals& totals,
                     const Worker& worker,
                     const HttpMessage& request) {
  std::string id = request.Field("x-teaselthread-request-id");
  record.Write(worker.name() + " runs " + id);
  const std::lock_guard lock(totals.mutex);
  totals.passed_on.insert(id);
  return id;
}

bool RunOrder(Record& record,
              Totals& totals,
              Worker& worker,
              const HttpMessage& request,
              Connection& connection) {
  const std::string id = BeginRun(record, totals, worker, request);
  SleepFor(kOrderTime);
  record.Write(worker.name() + " ends " + id);
  return connection.Write(worker.Answer(request, "200 OK", "done"));
}

bool Stream(Record& record,
            Totals& totals,
            Worker& worker,
            const HttpMessage& request,
            Connection& connection) {
  const std::string id = BeginRun(record, totals, worker, request);
  std::string text = worker.AnswerHead(request, "200 OK") +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  SleepFor(kPrefillTime);
  for (int i = 1; i <= kEvents; ++i) {
    text +=
        Chunk("id: " + std::to_string(i) + "\ndata: text of " + id + "\n\n");
    if (connection.PeerHasClosed() || !connection.Write(text)) {
      record.Write(worker.name() + " loses the connection of " + id +
                   " while it works");
      return false;
    }
    text.clear();
    SleepFor(i < kEvents ? kEventInterval : RandomTime(kLongestTail));
  }
  record.Write(worker.name() + " ends " + id);
  return connection.Write("0\r\n\r\n");
}

std::string Request(Record& record, const std::string& id) {
  record.Write("client sends " + id);
  return MakeRequest("summary", id, kDeadlineMs, "go on");
}

std::string Order(Record& record, const std::string& id) {
  record.Write("client sends " + id);
  return MakeRequest("order", id, kOrderDeadlineMs, "an order");
}

// Reads the events of its stream and leaves when it has the last one.
void AskAndLeave(Record& record,
                 uint16_t front,
                 const std::string& id,
                 Totals* totals) {
  const std::unique_ptr<Connection> connection = Connect(front);
  if (!connection || !connection->Write(Request(record, id)))
    return;
  const auto head = connection->ReadHead();
  if (!head || head->Status() != 200)
    return;
  for (int events = 0; events < kEvents;) {
    const auto line = connection->ReadLine();
    if (!line)
      return;
    events +=
        line->starts_with("id: ") || line->find("\nid: ") != std::string::npos
            ? 1
            : 0;
  }
  connection->Close();
  record.Write("client leaves " + id);
  ++totals->left;
}

// Sends requests on one connection, which it keeps, and reads the answers.
// Connects again if the connection ends.
void AskAndStay(Record& record,
                uint16_t front,
                const std::string& name,
                bool is_ordering,
                const std::atomic<bool>& stopping,
                Totals* totals) {
  std::unique_ptr<Connection> connection;
  bool is_kept = false;
  for (int number = 0; !stopping; ++number) {
    const std::string id = name + "-" + std::to_string(number);
    if (!is_ordering)
      AwaitNextWave();
    if (!connection) {
      connection = Connect(front);
      is_kept = false;
    }
    const std::string request =
        is_ordering ? Order(record, id) : Request(record, id);
    if (!connection || !connection->Write(request)) {
      connection.reset();
      SleepFor(kRestartDelay);
      continue;
    }
    const ClientAnswer answer = ReadAnswer(*connection);
    record.Write("client has " + std::to_string(answer.status) + " for " + id +
                 (answer.is_complete ? ", complete" : ", cut off"));
    if (is_kept && answer.is_complete)
      ++totals->complete;
    if (is_kept && !answer.is_complete) {
      ++totals->cut;
      const std::lock_guard lock(totals->mutex);
      if (answer.status == 0)
        totals->unanswered.insert(id);
    }
    is_kept = true;
    if (!answer.is_complete || !answer.keeps_alive)
      connection.reset();
  }
}

void RunCaller(Record& record,
               uint16_t front,
               int number,
               const std::atomic<bool>& stopping,
               Totals* totals) {
  const std::string name = "c" + std::to_string(number);
  const bool is_ordering = number >= kCallers;
  const bool leaves =
      HasTrouble() && !is_ordering && number % 10 < kLeavingTenths;
  if (!leaves) {
    AskAndStay(record, front, name, is_ordering, stopping, totals);
    return;
  }
  for (int i = 0; !stopping; ++i) {
    AwaitNextWave();
    AskAndLeave(record, front, name + "-" + std::to_string(i), totals);
  }
}

std::string Describe(int status) {
  return WIFSIGNALED(status)
             ? "signal " + std::to_string(WTERMSIG(status))
             : "exit code " + std::to_string(WEXITSTATUS(status));
}

int Run() {
  Record record("review/1/record.txt");
  Totals totals;
  const Worker::Handler engine = [&](Worker& worker, const HttpMessage& request,
                                     Connection& connection) {
    return Stream(record, totals, worker, request, connection);
  };
  const Worker::Handler desk = [&](Worker& worker, const HttpMessage& request,
                                   Connection& connection) {
    return RunOrder(record, totals, worker, request, connection);
  };
  Deployment deployment({.gateways = 2, .engines = 2, .desks = 3}, engine,
                        desk);
  if (!deployment.WaitUntilReady())
    return kCannotRun;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers + kOrderingCallers; ++i) {
    callers.emplace_back([&, i] {
      const size_t gateway = static_cast<size_t>(i) % deployment.gateways();
      RunCaller(record, deployment.gateway(gateway).front(), i, stopping,
                &totals);
    });
  }
  // The platform starts a process again that has ended.
  const double until = Now() + kLongestRun;
  int crashes = 0;
  while (Now() < until && totals.Lost() <= kAllowedLosses) {
    SleepFor(0.05);
    for (size_t i = 0; i < deployment.gateways(); ++i) {
      Gateway& gateway = deployment.gateway(i);
      if (gateway.IsRunning())
        continue;
      ++crashes;
      record.Write(gateway.name() + " ended by itself with " +
                   Describe(gateway.exit_status()) + " and starts again");
      SleepFor(kRestartDelay);
      gateway.Start(deployment.folder(), deployment.seeds());
    }
  }
  const double ran_for = Now() - until + kLongestRun;
  stopping = true;
  for (std::thread& caller : callers)
    caller.join();
  std::string summary =
      std::to_string(crashes) + " crashes in " + std::to_string(ran_for) + " s";
  summary += "; " + std::to_string(totals.left) +
             " requests were left before their end; on kept connections, " +
             std::to_string(totals.complete) + " had a complete answer, " +
             std::to_string(totals.cut) + " were cut off, " +
             std::to_string(totals.Lost()) +
             " of them passed on to a worker and without any answer";
  record.Write(summary);
  std::cout << summary << "\n";
  return totals.Lost() > kAllowedLosses ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::Run();
}
