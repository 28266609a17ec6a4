#include "libteaselthread/peers/revision_announcement.h"

namespace teaselthread {
namespace {

// Several heartbeats across zones, some of which may get lost.
constexpr Duration kTellingTime = std::chrono::seconds(10);

}  // namespace

void RevisionAnnouncement::OnRevision(uint64_t revision, Timestamp now) {
  if (revision <= revision_)
    return;
  revision_ = revision;
  known_since_ = now;
}

uint64_t RevisionAnnouncement::RevisionToAnnounce(Timestamp now) const {
  return now - known_since_ < kTellingTime ? revision_ : 0;
}

}  // namespace teaselthread
