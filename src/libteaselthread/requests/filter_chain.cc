#include "libteaselthread/requests/filter_chain.h"

namespace teaselthread {

void FilterChain::Append(std::unique_ptr<RequestFilter> filter) {
  filters_.push_back(std::move(filter));
}

std::optional<RefusedNotRun> FilterChain::Apply(RequestContext& context,
                                                Timestamp now) {
  for (size_t accepted = 0; accepted < filters_.size(); ++accepted) {
    std::optional<RefusedNotRun> refusal =
        filters_[accepted]->Apply(context, now);
    if (!refusal)
      continue;
    while (accepted-- > 0)
      filters_[accepted]->OnEnd(context);
    return refusal;
  }
  return std::nullopt;
}

void FilterChain::OnEnd(const RequestContext& context) {
  for (const auto& filter : filters_)
    filter->OnEnd(context);
}

}  // namespace teaselthread
