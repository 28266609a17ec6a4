#ifndef TEASELTHREAD_REQUESTS_HEDGED_ATTEMPT_H_
#define TEASELTHREAD_REQUESTS_HEDGED_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "libteaselthread/attempts/hedge_policy.h"
#include "teaselthread/requests/tracked_attempt.h"

namespace teaselthread {

// One attempt of a caller's request and, if its response is late and the
// HedgePolicy allows it, a second one in parallel at another endpoint. The
// first response wins, and the other attempt is cancelled and its connection
// closed before Run returns. If one attempt fails, the other one continues.
//
// Without hedging, this is a TrackedAttempt.
class HedgedAttempt {
 public:
  // Selects an endpoint for the hedge that is none of `excluded`. Empty if
  // there is none.
  using SelectHedge = std::function<std::optional<Selection>(
      const std::set<std::string>& excluded)>;

  struct Outcome {
    // The response, or the later failure if both attempts have failed.
    AttemptResult result;
    Selection selection;
    AttemptRole role = AttemptRole::kFirst;
  };

  HedgedAttempt(GatewayState* state,
                EndpointConnections* connections,
                CrashGuard* crash_guard,
                EndpointPlacement* placement,
                RequestExchange* exchange,
                Selection selection,
                SelectHedge select_hedge);
  HedgedAttempt(const HedgedAttempt&) = delete;
  HedgedAttempt& operator=(const HedgedAttempt&) = delete;

  asio::awaitable<Outcome> Run();

 private:
  // One of the two attempts. `attempt` is null if it was not started.
  struct Side {
    std::unique_ptr<TrackedAttempt> attempt;
    AttemptResult result;
    Timestamp ended_at{};
    bool ended = false;
    bool failure_recorded = false;

    bool succeeded() const { return ended && !result.failure; }
    bool failed() const { return ended && result.failure.has_value(); }
    bool runs() const { return attempt && !ended; }
  };

  bool IsHedgeable() const;
  std::unique_ptr<TrackedAttempt> MakeAttempt(
      Selection selection,
      AttemptRole role,
      std::shared_ptr<RequestGuard> guard);
  // Starts the side's attempt, which runs until it ends or is cancelled.
  void Start(Side& side);
  asio::awaitable<void> Drive(Side& side);
  asio::awaitable<void> WaitUntil(const std::function<bool()>& condition);
  asio::awaitable<void> WaitUntilLate(Duration delay);
  // Sends the hedge, or logs why not.
  void TryHedge(Duration delay);
  std::variant<Selection, HedgeDenial> ChooseHedge(const HedgeQuery& query);
  HedgeQuery MakeHedgeQuery() const;
  void StartHedge(Selection selection);
  // Waits until an attempt has succeeded or both have failed.
  asio::awaitable<void> WaitForResponse();
  // Records a failure after which the request goes on.
  void RecordFailure(Side& side);
  // Cancels the attempt if it still runs, and waits until it has ended.
  asio::awaitable<void> Cancel(Side& side);
  asio::awaitable<Outcome> Finish();
  // Tells the policy how long the first attempt took.
  void RecordTimes(bool was_late, const Outcome& outcome);
  void LogChoice(const std::variant<Selection, HedgeDenial>& choice,
                 const HedgeQuery& query,
                 Duration delay);

  GatewayState* state_;
  EndpointConnections* connections_;
  CrashGuard* crash_guard_;
  EndpointPlacement* placement_;
  RequestLog log_;
  RequestExchange* exchange_;
  SelectHedge select_hedge_;
  const std::string& service_;
  Timestamp started_at_;
  Side first_;
  Side hedge_;
  std::shared_ptr<RequestGuard> hedge_guard_;
  BufferQuota::Reservation hedge_body_;
  asio::steady_timer signal_;  // cancelled when an attempt has ended
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_HEDGED_ATTEMPT_H_
