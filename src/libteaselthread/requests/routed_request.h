#ifndef TEASELTHREAD_REQUESTS_ROUTED_REQUEST_H_
#define TEASELTHREAD_REQUESTS_ROUTED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libteaselthread/requests/outcome.h"
#include "libteaselthread/requests/retry_budget.h"
#include "libteaselthread/requests/sse_assembler.h"
#include "libteaselthread/router.h"

namespace teaselthread {

// Forward the call to the node that owns the endpoint.
struct ForwardCall {
  Placement placement;
  uint32_t resume_from = 0;  // complete events that the caller already has
  std::optional<RetryReason> retry_of;  // why the previous attempt ended
  friend auto operator<=>(const ForwardCall&, const ForwardCall&) = default;
};

struct RelayHead {
  int status = 0;
  std::string content_type;
  std::string endpoint;
  std::string owner;  // node that admitted the call; empty for stored responses
  friend auto operator<=>(const RelayHead&, const RelayHead&) = default;
};

struct RelayData {
  std::string bytes;
  friend auto operator<=>(const RelayData&, const RelayData&) = default;
};

struct FinishCall {
  Outcome outcome;
  friend bool operator==(const FinishCall&, const FinishCall&) = default;
};

using RouteAction = std::variant<ForwardCall, RelayHead, RelayData, FinishCall>;
using RouteActions = std::vector<RouteAction>;

// The state machine of one request at its entry node. It selects an endpoint,
// tracks the attempt, decides whether to make another one, and ends as answered
// only after a complete response. Each event handler returns the actions to
// perform, in order. FinishCall is returned exactly once, as the last action.
class RoutedRequest {
 public:
  RoutedRequest(const Router* router,
                RetryBudget* budget,
                PlacementQuery query,
                bool repeatable);

  RouteActions Start(Timestamp now);
  RouteActions OnHead(int status, std::string_view content_type, Timestamp now);
  RouteActions OnData(std::string_view bytes);
  // The peer or endpoint states that the body had this many bytes.
  RouteActions OnEnd(uint64_t body_bytes, Timestamp now);
  // The owner states that it has sent no byte of the call.
  RouteActions OnNotRun(const RefusedNotRun& statement, Timestamp now);
  // The attempt was interrupted. The request may have run.
  RouteActions OnLost(UnknownReason reason, Timestamp now);
  RouteActions OnDeadline();
  // The caller has disconnected and no longer waits for the response.
  RouteActions OnCallerDisconnected();

  bool finished() const { return finished_; }
  const std::string& endpoint() const { return placement_.endpoint; }

 private:
  RouteActions TryPlace(std::optional<RetryReason> retry_of,
                        const std::optional<RefusedNotRun>& last_refusal,
                        Timestamp now);
  RouteActions Rerun(UnknownReason reason, Timestamp now);
  RouteActions Finish(Outcome outcome);
  RouteActions FinishAnswered();
  RouteActions FinishUnanswered(const RefusedNotRun& refusal);
  RelayHead MakeRelayHead() const;
  bool IsResponseComplete(uint64_t body_bytes) const;

  const Router* router_;
  RetryBudget* budget_;
  PlacementQuery query_;
  bool repeatable_;

  std::variant<UnsentCall, PossiblySentCall> call_;
  // Set if an earlier attempt may have run, in which case the request cannot
  // end as "not run".
  std::optional<UnknownReason> lost_attempt_reason_;
  Placement placement_;
  int placements_ = 0;
  int reruns_ = 0;

  int status_ = 0;
  std::string content_type_;
  bool is_event_stream_ = false;
  bool head_relayed_ = false;
  SseAssembler events_;
  std::string body_;
  uint64_t attempt_bytes_ = 0;
  bool finished_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_ROUTED_REQUEST_H_
