#ifndef TEASELTHREAD_REQUESTS_TICKET_H_
#define TEASELTHREAD_REQUESTS_TICKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libteaselthread/membership/incarnation.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The prefix of an idempotency key. It names the one node incarnation that
// may ever run a call under that key, and when it was issued.
// Text form: "tt1-<incarnation, 16 hex>-<Unix seconds, hex>-<nonce, hex>".
// The nonce differs between any two tickets, so that callers who count from
// one do not meet each other's keys.
// A key is a ticket, a hyphen and a part of the caller's own choice.
class Ticket {
 public:
  Ticket(Incarnation home, WallSeconds issued_at, uint64_t nonce)
      : home_(home), issued_at_(issued_at), nonce_(nonce) {}

  // Reads the ticket at the start of `key`. Nothing if `key` does not start
  // with a well-formed ticket followed by a non-empty part of the caller's.
  static std::optional<Ticket> ParseKey(std::string_view key);

  // Whether `key` starts as a ticket does, well-formed or not.
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
