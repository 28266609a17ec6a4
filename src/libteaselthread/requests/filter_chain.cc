#include "libteaselthread/requests/filter_chain.h"

namespace teaselthread {

void FilterChain::Append(std::unique_ptr<RequestFilter> filter) {
  filters_.push_back(std::move(filter));
}

std::optional<RefusedNotRun> FilterChain::Apply(RequestContext& context,
                                                Timestamp now) {
  for (size_t passed = 0; passed < filters_.size(); ++passed) {
    std::optional<RefusedNotRun> refusal =
        filters_[passed]->Apply(context, now);
    if (!refusal)
      continue;
    while (passed-- > 0)
      filters_[passed]->OnEnd(context);
    return refusal;
  }
  return std::nullopt;
}

void FilterChain::OnEnd(const RequestContext& context) {
  for (const auto& filter : filters_)
    filter->OnEnd(context);
}

}  // namespace teaselthread
