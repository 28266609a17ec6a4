#ifndef TEASELTHREAD_REQUESTS_IDEMPOTENCY_TABLE_H_
#define TEASELTHREAD_REQUESTS_IDEMPOTENCY_TABLE_H_

#include <compare>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libteaselthread/requests/reasons.h"
#include "libteaselthread/requests/ticket.h"
#include "libteaselthread/settings.h"

namespace teaselthread {

// A whole answer, kept for repeats of its key.
struct KeptAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  friend auto operator<=>(const KeptAnswer&, const KeptAnswer&) = default;
};

enum class KeyVerdict : uint8_t {
  kRun,      // the first use of the key: run the call, then report its end
  kJoin,     // the call runs: wait for its end
  kReplay,   // the call has ended: here is its answer
  kRefused,  // this request did not and will not run
  kUnknown,  // an earlier use of the key may have run
};

struct KeyDecision {
  KeyVerdict verdict = KeyVerdict::kRefused;
  std::optional<RefusalReason> refusal;
  std::optional<UnknownReason> unknown;
  std::shared_ptr<const KeptAnswer> answer;
};

// The calls that may not be repeated and whose keys name this incarnation.
// It is the only place that decides whether such a call runs: a key runs when
// it is first seen, and never again while its ticket is valid. A key whose
// ticket has expired never runs, so its record can go.
class IdempotencyTable {
 public:
  IdempotencyTable(Incarnation self, IdempotencySettings settings);

  // `fingerprint` tells requests apart that wrongly share a key.
  KeyDecision Begin(const std::string& customer,
                    const std::string& key,
                    uint64_t fingerprint,
                    WallSeconds wall,
                    Timestamp now);

  // The call was answered in full.
  void Complete(const std::string& customer,
                const std::string& key,
                KeptAnswer answer,
                Timestamp now);
  // The call may have run; the key never runs again.
  void LoseTrack(const std::string& customer,
                 const std::string& key,
                 UnknownReason reason);
  // No byte of the call was sent; the key may run at a later attempt.
  void Withdraw(const std::string& customer, const std::string& key);

  size_t key_count() const { return records_.size(); }
  uint64_t answer_bytes() const { return answer_bytes_; }

  static uint64_t Fingerprint(std::string_view method,
                              std::string_view path,
                              std::string_view body);

 private:
  struct RecordId {
    uint64_t high = 0;
    uint64_t low = 0;
    friend auto operator<=>(const RecordId&, const RecordId&) = default;
  };
  struct RecordIdHash {
    size_t operator()(const RecordId& id) const { return id.low; }
  };
  enum class State : uint8_t { kRunning, kAnswered, kLost };
  struct Record {
    State state = State::kRunning;
    UnknownReason lost_reason{};
    uint64_t fingerprint = 0;
    std::shared_ptr<const KeptAnswer> answer;
  };
  struct Expiry {
    WallSeconds at;
    RecordId id;
    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };
  struct KeptEntry {
    Timestamp until;
    RecordId id;
  };

  static RecordId IdOf(const std::string& customer, const std::string& key);
  static KeyDecision Repeat(const Record& record, uint64_t fingerprint);
  std::optional<KeyDecision> Reject(const Ticket& ticket,
                                    WallSeconds wall) const;
  void DropExpiredRecords();
  void DropOldAnswers(Timestamp now);

  Incarnation self_;
  IdempotencySettings settings_;
  // The latest wall clock seen, so that a clock set back revives no ticket.
  WallSeconds latest_wall_{};
  std::unordered_map<RecordId, Record, RecordIdHash> records_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::list<KeptEntry> kept_;
  uint64_t answer_bytes_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_IDEMPOTENCY_TABLE_H_
