#include "libteaselthread/routes/knowledge_age.h"

#include <algorithm>

namespace teaselthread {

void KnowledgeAge::OnProof(Timestamp asked_at) {
  proved_at_ = proved_at_ ? std::max(*proved_at_, asked_at) : asked_at;
}

void KnowledgeAge::OnPeerProof(Timestamp echoed_at,
                               Duration age,
                               Timestamp now) {
  if (echoed_at <= now && age >= Duration::zero())
    OnProof(echoed_at - age);
}

bool KnowledgeAge::IsFresh(Timestamp now) const {
  return proved_at_ && now - *proved_at_ <= max_age_;
}

std::optional<Duration> KnowledgeAge::Age(Timestamp now) const {
  if (!proved_at_)
    return std::nullopt;
  return now - *proved_at_;
}

}  // namespace teaselthread
