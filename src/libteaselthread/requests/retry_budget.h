#ifndef TEASELTHREAD_REQUESTS_RETRY_BUDGET_H_
#define TEASELTHREAD_REQUESTS_RETRY_BUDGET_H_

namespace teaselthread {

// Bounds a node's retries of work that may already have loaded an endpoint to
// a share of its requests, so that retries cannot keep an overload going.
class RetryBudget {
 public:
  void OnRequest();
  // Takes one retry out of the budget; false if there is none left.
  bool TryTake();
  double tokens() const { return tokens_; }

 private:
  static constexpr double kTokensPerRequest = 0.2;
  static constexpr double kMaxTokens = 20;

  double tokens_ = kMaxTokens;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_RETRY_BUDGET_H_
