#ifndef TEASELTHREAD_TESTS_CRASHES_CRASH_FLEET_H_
#define TEASELTHREAD_TESTS_CRASHES_CRASH_FLEET_H_

#include <array>
#include <optional>
#include <random>
#include <vector>

#include "libteaselthread/endpoints/crash_evidence_queue.h"
#include "libteaselthread/endpoints/crash_suspects.h"

namespace teaselthread::test {

// What happens to the requests of a fleet. Rates are of the whole fleet.
struct CrashLoad {
  size_t gateways = 63;
  double requests_per_second = 200;
  double reset_share = 0;    // of responses, lost before their first event
  double tainted_share = 0;  // of requests that crash their engine
  Duration flap_interval{};  // between engines that go down in turn; 0: none
  // While engines in this interval are cut off from some gateways, these
  // connections break, and new ones time out.
  Duration cut_from{};
  Duration cut_until{};
  uint64_t seed = 1;
};

struct CrashFigures {
  int sound_requests = 0;
  int sound_refused = 0;
  int crashes = 0;  // by requests with the tainted part
  // Requests with the tainted part at engines later than 3 s after the fifth
  // crash.
  int late_contacts = 0;
  std::array<int, kCrashVerdictCount> verdicts{};
};

// A fleet of gateways and engines in virtual time. Gateways judge broken
// connections and exchange evidence as the daemon does: urgent evidence is
// known to all others after 200 ms, and heartbeats reach a few.
class CrashFleet {
 public:
  explicit CrashFleet(const CrashLoad& load);

  CrashFigures Run(Duration time);

 private:
  struct Engine {
    EndpointRecord record;
    bool is_running = true;
    Timestamp restarts_at{};
    Timestamp registered_at{};  // when gateways learn of the restart
  };
  struct Gateway {
    EndpointTable endpoints;
    CrashEvidenceQueue queue;
    CrashSuspects suspects;
  };
  struct Request {
    size_t gateway = 0;
    size_t engine = 0;
    EndpointPtr endpoint;
    std::vector<std::string> parts;
    bool is_tainted = false;
    bool is_retry = false;
    Timestamp sent_at{};
    Timestamp first_event_at{};
  };
  struct Message {
    Timestamp arrives_at{};
    size_t to = 0;
    std::vector<CrashEvidence> evidence;
  };

  void Step();
  void ChangeEngines();
  void AddRequests();
  void Send(Request request);
  void EndRequests();
  // Ends the engine's incarnation and breaks its connections.
  void StopEngine(size_t engine);
  void OnBreak(Request request);
  void JudgeEvidence(size_t gateway);
  void Exchange();
  uint64_t UnixMs() const;
  bool IsCutOff(size_t gateway, size_t engine) const;
  size_t Draw(size_t count) { return random_() % count; }
  bool DrawShare(double share) {
    return std::bernoulli_distribution(share)(random_);
  }

  CrashLoad load_;
  CrashFigures figures_;
  std::mt19937_64 random_;
  Timestamp start_;
  Timestamp now_;
  std::optional<Timestamp> fifth_crash_at_;
  size_t next_flap_ = 0;
  std::vector<Engine> engines_;
  std::vector<Gateway> gateways_;
  std::vector<Request> requests_;
  std::vector<Message> messages_;
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_CRASHES_CRASH_FLEET_H_
