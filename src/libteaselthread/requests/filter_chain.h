#ifndef TEASELTHREAD_REQUESTS_FILTER_CHAIN_H_
#define TEASELTHREAD_REQUESTS_FILTER_CHAIN_H_

#include <memory>
#include <optional>
#include <vector>

#include "libteaselthread/requests/outcome.h"
#include "libteaselthread/requests/request_context.h"

namespace teaselthread {

// One step that every request passes before it is placed. It may fill in the
// context, or refuse the request.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  virtual std::optional<RefusedNotRun> Apply(RequestContext& context,
                                             Timestamp now) = 0;
  // The request has ended; called for every filter that has let it pass.
  virtual void OnEnd(const RequestContext& /*context*/) {}
};

// The filters in their order.
class FilterChain {
 public:
  void Append(std::unique_ptr<RequestFilter> filter);

  // Nothing if all filters let the request pass. Then, and only then, OnEnd
  // must follow.
  std::optional<RefusedNotRun> Apply(RequestContext& context, Timestamp now);
  void OnEnd(const RequestContext& context);

 private:
  std::vector<std::unique_ptr<RequestFilter>> filters_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_FILTER_CHAIN_H_
