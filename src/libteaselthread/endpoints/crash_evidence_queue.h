#ifndef TEASELTHREAD_ENDPOINTS_CRASH_EVIDENCE_QUEUE_H_
#define TEASELTHREAD_ENDPOINTS_CRASH_EVIDENCE_QUEUE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/endpoints/endpoint_table.h"

namespace teaselthread {

// What became of the evidence of a broken connection.
enum class CrashVerdict : uint8_t {
  // Confirmed: the engine's incarnation has ended.
  kRefused,      // the engine refused a new connection
  kReplaced,     // one that started after the break is registered in its place
  kMisdirected,  // another instance has replied at its address
  // Disproved: the incarnation goes on, or has ended for another reason.
  kBytesReceived,  // it has sent bytes since
  kAccepted,       // it has accepted a connection since
  kLeaving,        // it was told to leave, or has said so itself
  kAnswered,       // all parts have been answered since, by any engine
  kExpired,        // nothing was learned in time
};
inline constexpr size_t kCrashVerdictCount = 8;
std::string_view ToString(CrashVerdict verdict);
bool IsConfirmed(CrashVerdict verdict);

// A connection to an engine that broke before the first event of a request with
// these shared prompt parts.
struct PendingCrash {
  std::string request_id;
  std::vector<std::string> parts;
  EndpointPtr engine;
  Timestamp sent_at{};
  Timestamp broke_at{};
  uint64_t broke_at_ms = 0;  // the same as Unix time
  Timestamp probed_at{};     // zero: not yet
};

struct JudgedCrash {
  PendingCrash crash;
  CrashVerdict verdict = CrashVerdict::kExpired;
};

// The broken connections of this node of which it is not known yet whether the
// engine has crashed, and when to probe the engines for it.
//
// Load pattern: 3 to 30 in 100 responses are lost by connection resets, and
// connections are reset by network partitions, while requests of one kind do
// crash engines.
class CrashEvidenceQueue {
 public:
  // Beyond `kMaxPending`, the oldest evidence expires.
  void Add(PendingCrash crash);
  // An engine has sent the first event of a request with these parts.
  void OnAnswerBegun(const std::vector<std::string>& parts);
  // Removes and returns the evidence that is decided, in the order of the
  // breaks.
  std::vector<JudgedCrash> Judge(const EndpointTable& endpoints, Timestamp now);

  bool HasPending(const EndpointState& engine) const;
  // Whether to open a connection to the engine now. The caller runs at most one
  // such probe at a time for each engine.
  bool TakeProbe(const EndpointState& engine, Timestamp now);
  size_t size() const { return pending_.size(); }

  static constexpr size_t kMaxPending = 256;
  // A connection that is accepted, or bytes that arrive, sooner than this after
  // the break may be from before a crash: from the listener's backlog or a
  // socket's buffer.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(100);

 private:
  std::deque<PendingCrash> pending_;  // by time of the break
  std::vector<JudgedCrash> judged_;   // not yet returned
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_CRASH_EVIDENCE_QUEUE_H_
