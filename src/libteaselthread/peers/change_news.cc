#include "libteaselthread/peers/change_news.h"

namespace teaselthread {
namespace {

// Several heartbeats across zones, some of which may get lost.
constexpr Duration kTellingTime = std::chrono::seconds(10);

}  // namespace

void ChangeNews::OnKnown(uint64_t revision, Timestamp now) {
  if (revision <= revision_)
    return;
  revision_ = revision;
  known_since_ = now;
}

uint64_t ChangeNews::ToTell(Timestamp now) const {
  return now - known_since_ < kTellingTime ? revision_ : 0;
}

}  // namespace teaselthread
