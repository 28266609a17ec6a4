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

// A complete response, stored for repeated requests with the same key.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;

  friend auto operator<=>(const StoredResponse&,
                          const StoredResponse&) = default;
};

enum class KeyVerdict : uint8_t {
  kRun,      // the first use of the key: run the call, then report its outcome
  kJoin,     // the call is running: wait for its outcome
  kReplay,   // the call has ended: return the stored response
  kRefused,  // this request has not run and will not run
  kUnknown,  // an earlier use of the key may have run
};

struct KeyDecision {
  KeyVerdict verdict = KeyVerdict::kRefused;
  std::optional<RefusalReason> refusal;
  std::optional<UnknownReason> unknown;
  std::shared_ptr<const StoredResponse> answer;
};

// Records the non-repeatable calls whose keys name this node incarnation. This
// table alone decides whether such a call runs: a call runs when its key is
// first seen, and never again while the key's ticket is valid. A call whose
// ticket has expired never runs, so its record can be deleted.
class IdempotencyTable {
 public:
  IdempotencyTable(Incarnation self, IdempotencySettings settings);

  // `fingerprint` detects different requests that wrongly use the same key.
  KeyDecision Begin(const std::string& customer,
                    const std::string& key,
                    uint64_t fingerprint,
                    WallSeconds wall,
                    Timestamp now);

  // The call has ended with a complete response.
  void Complete(const std::string& customer,
                const std::string& key,
                StoredResponse answer,
                Timestamp now);
  // The call may have run. No later request with this key runs.
  void MarkUnknown(const std::string& customer,
                   const std::string& key,
                   UnknownReason reason);
  // No byte of the call was sent. A later request with this key may run.
  void Withdraw(const std::string& customer, const std::string& key);

  size_t key_count() const { return records_.size(); }
  uint64_t stored_response_bytes() const { return stored_response_bytes_; }

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
  enum class State : uint8_t { kRunning, kAnswered, kOutcomeUnknown };
  struct Record {
    State state = State::kRunning;
    UnknownReason unknown_reason{};
    uint64_t fingerprint = 0;
    std::shared_ptr<const StoredResponse> answer;
  };
  struct Expiry {
    WallSeconds at;
    RecordId id;
    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };
  struct StoredResponseExpiry {
    Timestamp until;
    RecordId id;
  };

  static RecordId IdOf(const std::string& customer, const std::string& key);
  static KeyDecision Repeat(const Record& record, uint64_t fingerprint);
  std::optional<KeyDecision> Reject(const Ticket& ticket,
                                    WallSeconds wall) const;
  void DropExpiredRecords();
  void DropOldResponses(Timestamp now);

  Incarnation self_;
  IdempotencySettings settings_;
  // The latest wall-clock time seen, so that an expired ticket does not become
  // valid again when the clock is set back.
  WallSeconds latest_wall_{};
  std::unordered_map<RecordId, Record, RecordIdHash> records_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::list<StoredResponseExpiry> stored_responses_;
  uint64_t stored_response_bytes_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_IDEMPOTENCY_TABLE_H_
