#ifndef TEASELTHREAD_REQUESTS_FILTER_CHAIN_H_
#define TEASELTHREAD_REQUESTS_FILTER_CHAIN_H_

#include <memory>
#include <optional>
#include <vector>

#include "libteaselthread/requests/outcome.h"
#include "libteaselthread/requests/request_context.h"

namespace teaselthread {

// A processing step that every request passes through before an endpoint is
// selected. It may fill in the context or refuse the request.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  virtual std::optional<RefusedNotRun> Apply(RequestContext& context,
                                             Timestamp now) = 0;
  // Called when the request has ended, for every filter that accepted it.
  virtual void OnEnd(const RequestContext& /*context*/) {}
};

// Applies the filters in the order in which they were appended.
class FilterChain {
 public:
  void Append(std::unique_ptr<RequestFilter> filter);

  // Returns nothing if all filters accept the request. In that case, and only
  // then, OnEnd must be called later.
  std::optional<RefusedNotRun> Apply(RequestContext& context, Timestamp now);
  void OnEnd(const RequestContext& context);

 private:
  std::vector<std::unique_ptr<RequestFilter>> filters_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_FILTER_CHAIN_H_
