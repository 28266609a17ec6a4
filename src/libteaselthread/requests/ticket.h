#ifndef TEASELTHREAD_REQUESTS_TICKET_H_
#define TEASELTHREAD_REQUESTS_TICKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libteaselthread/membership/incarnation.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The prefix of an idempotency key. It names the only node incarnation that may
// run a call with that key (its home), and the time at which it was issued.
// Text form:
//
// "tt1-<incarnation, 16 hex>-<Unix seconds, hex>-<nonce, hex>"
//
// The nonce differs between any two tickets, so that callers that number their
// keys from 1 do not use the same keys. A key consists of a ticket, a hyphen
// and a suffix that the caller chooses.
class Ticket {
 public:
  Ticket(Incarnation home, WallSeconds issued_at, uint64_t nonce)
      : home_(home), issued_at_(issued_at), nonce_(nonce) {}

  // Parses the ticket at the start of `key`. Returns nothing if `key` does not
  // consist of a well-formed ticket, a hyphen and a non-empty suffix.
  static std::optional<Ticket> ParseKey(std::string_view key);

  // Whether `key` starts with the ticket prefix, even if the rest is malformed.
  static bool LooksLikeTicket(std::string_view key);

  Incarnation home() const { return home_; }
  WallSeconds issued_at() const { return issued_at_; }
  std::string ToString() const;

  friend auto operator<=>(const Ticket&, const Ticket&) = default;

 private:
  Incarnation home_;
  WallSeconds issued_at_;
  uint64_t nonce_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_TICKET_H_
