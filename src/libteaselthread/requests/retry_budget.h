#ifndef TEASELTHREAD_REQUESTS_RETRY_BUDGET_H_
#define TEASELTHREAD_REQUESTS_RETRY_BUDGET_H_

namespace teaselthread {

// Limits a node's retries of requests that may already have put load on an
// endpoint to a fraction of its requests, so that retries cannot sustain an
// overload.
class RetryBudget {
 public:
  void OnRequest();
  // Takes one retry from the budget. Returns false if none is left.
  bool TryTake();
  double tokens() const { return tokens_; }

 private:
  static constexpr double kTokensPerRequest = 0.2;
  static constexpr double kMaxTokens = 20;

  double tokens_ = kMaxTokens;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_RETRY_BUDGET_H_
