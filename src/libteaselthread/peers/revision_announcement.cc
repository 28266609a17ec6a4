#include "libteaselthread/peers/revision_announcement.h"

namespace teaselthread {
namespace {

// Covers several heartbeats across zones, some of which may get lost.
constexpr Duration kAnnouncementPeriod = std::chrono::seconds(10);

}  // namespace

void RevisionAnnouncement::OnRevision(uint64_t revision,
                                      Timestamp now,
                                      StoreEpoch epoch) {
  if (revision <= revision_ && !IsOlderEpoch(epoch_, epoch))
    return;
  if (epoch)
    epoch_ = epoch;
  revision_ = revision;
  revision_known_since_ = now;
}

uint64_t RevisionAnnouncement::RevisionToAnnounce(Timestamp now) const {
  return now - revision_known_since_ < kAnnouncementPeriod ? revision_ : 0;
}

}  // namespace teaselthread
