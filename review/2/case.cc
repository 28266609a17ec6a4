// A gateway gets SIGTERM while streams are in progress. Their clients go on to
// use the connections, which the gateway keeps open, and their next requests
// are cut off when the gateway exits.

#include <signal.h>

#include <iostream>

#include "../harness/deployment.h"

namespace review {
namespace {

constexpr int kClients = 6;
constexpr int kDeadlineMs = 10'000;
constexpr double kEventInterval = 0.25;
// The streams in progress at SIGTERM end this long after it, one after another.
constexpr double kFirstEnd = 3.6;
constexpr double kEndInterval = 0.2;
constexpr int kSecondEvents = 22;
// How long clients use an answer of the directory: three times `ttl_s`.
constexpr double kLookUpLifetime = 6;

constexpr double kExcusedTime = 3;

struct ClientResult {
  bool was_cut = false;
  bool can_run = true;
};

int EventCount(const HttpMessage& request) {
  return std::atoi(request.body.c_str());
}

// Streams as many events as the body says.
bool Stream(Record& record,
            Worker& worker,
            const HttpMessage& request,
            Connection& connection) {
  const std::string id = request.Field("x-teaselthread-request-id");
  record.Write(worker.name() + " runs " + id);
  std::string text = worker.AnswerHead(request, "200 OK") +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 1; i <= EventCount(request); ++i) {
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: text of " + id + "\n\n";
    char size[16];
    (void)std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    text += size + event + "\r\n";
    if (connection.PeerHasClosed() || !connection.Write(text)) {
      record.Write(worker.name() + " loses the connection of " + id +
                   " while it works, after event " + std::to_string(i - 1));
      return false;
    }
    text.clear();
    SleepFor(kEventInterval);
  }
  record.Write(worker.name() + " ends " + id);
  return connection.Write("0\r\n\r\n");
}

ClientAnswer Ask(Record& record,
                 Connection& connection,
                 const std::string& id,
                 int events) {
  record.Write("client sends " + id);
  if (!connection.Write(
          MakeRequest("summary", id, kDeadlineMs, std::to_string(events)))) {
    return {};
  }
  ClientAnswer answer = ReadAnswer(connection);
  record.Write("client has " + std::to_string(answer.status) + " for " + id +
               ", " + std::to_string(answer.events) + " of " +
               std::to_string(events) + " events, " +
               (answer.is_complete ? "complete" : "cut off"));
  return answer;
}

void RunClient(Record& record,
               Deployment& deployment,
               int number,
               double signal_at,
               ClientResult* result) {
  Gateway& leaving = deployment.gateway(0);
  const std::string name = "c" + std::to_string(number);
  SleepUntil(signal_at - 0.3);
  const double looked_up_at = Now();
  const bool is_named =
      leaving.LookUp().find(LoopbackAddress(leaving.front())) !=
      std::string::npos;
  std::unique_ptr<Connection> connection = Connect(leaving.front());
  if (!is_named || !connection) {
    result->can_run = false;
    return;
  }
  const double first_time = kFirstEnd + 0.3 + kEndInterval * number;
  const ClientAnswer first = Ask(record, *connection, name + "-first",
                                 static_cast<int>(first_time / kEventInterval));
  if (!first.is_complete) {
    result->can_run = false;
    return;
  }
  const bool uses_kept_connection = first.keeps_alive &&
                                    !connection->PeerHasClosed() &&
                                    Now() - looked_up_at < kLookUpLifetime;
  if (!uses_kept_connection)
    connection = Connect(deployment.gateway(1).front());
  if (!connection) {
    result->can_run = false;
    return;
  }
  record.Write(name + (uses_kept_connection ? " uses its kept connection"
                                            : " opens another connection"));
  const double sent_at = Now();
  const ClientAnswer second =
      Ask(record, *connection, name + "-second", kSecondEvents);
  // A request that was not passed on gets no status. One that was sent soon
  // after the signal may be cut at the end of the grace period.
  result->was_cut = second.status == 200 && !second.is_complete &&
                    sent_at > signal_at + kExcusedTime;
}

int Run() {
  Record record("review/2/record.txt");
  const Worker::Handler engine = [&](Worker& worker, const HttpMessage& request,
                                     Connection& connection) {
    return Stream(record, worker, request, connection);
  };
  const Worker::Handler desk = [](Worker& worker, const HttpMessage& request,
                                  Connection& connection) {
    return connection.Write(worker.Answer(request, "200 OK", "done"));
  };
  Deployment deployment({}, engine, desk);
  if (!deployment.WaitUntilReady())
    return kCannotRun;
  const double signal_at = Now() + 1;
  std::vector<ClientResult> results(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { RunClient(record, deployment, i, signal_at, &results[i]); });
  }
  SleepUntil(signal_at);
  if (HasTrouble()) {
    deployment.gateway(0).Signal(SIGTERM);
    record.Write("SIGTERM to " + deployment.gateway(0).name());
  }
  for (std::thread& client : clients)
    client.join();
  int cut = 0;
  for (const ClientResult& result : results) {
    if (!result.can_run)
      return kCannotRun;
    cut += result.was_cut ? 1 : 0;
  }
  record.Write(std::to_string(cut) + " of " + std::to_string(kClients) +
               " clients had a request cut off");
  std::cout << cut << " of " << kClients << " clients had a request cut off\n";
  return cut > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::Run();
}
