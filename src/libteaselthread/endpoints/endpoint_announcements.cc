#include "libteaselthread/endpoints/endpoint_announcements.h"

#include <algorithm>

namespace teaselthread {
namespace {

// Endpoints that leave exit within this time. It bounds the memory for ids that
// are never used again.
constexpr Duration kRetention = std::chrono::minutes(30);

}  // namespace

bool EndpointAnnouncements::OnLeaving(const EndpointRecord& endpoint,
                                      Timestamp now) {
  Announcement& announcement = Insert(endpoint, now);
  const bool is_new = !announcement.is_leaving;
  announcement.is_leaving = true;
  return is_new;
}

void EndpointAnnouncements::OnPause(const EndpointRecord& endpoint,
                                    Timestamp until,
                                    Timestamp now) {
  Announcement& announcement = Insert(endpoint, now);
  announcement.paused_until = std::max(announcement.paused_until, until);
}

bool EndpointAnnouncements::IsLeaving(const EndpointRecord& endpoint) const {
  const Announcement* announcement = Find(endpoint);
  return announcement && announcement->is_leaving;
}

Duration EndpointAnnouncements::PauseLeft(const EndpointRecord& endpoint,
                                          Timestamp now) const {
  const Announcement* announcement = Find(endpoint);
  return announcement ? std::max(announcement->paused_until - now,
                                 Timestamp::duration::zero())
                      : Duration::zero();
}

void EndpointAnnouncements::Sweep(Timestamp now) {
  std::erase_if(announcements_, [&](const auto& item) {
    return now - item.second.announced_at > kRetention &&
           item.second.paused_until <= now;
  });
}

const EndpointAnnouncements::Announcement* EndpointAnnouncements::Find(
    const EndpointRecord& endpoint) const {
  const auto found = announcements_.find(endpoint.id);
  const bool is_same_start =
      found != announcements_.end() &&
      found->second.started_at_ms == endpoint.started_at_ms;
  return is_same_start ? &found->second : nullptr;
}

EndpointAnnouncements::Announcement& EndpointAnnouncements::Insert(
    const EndpointRecord& endpoint,
    Timestamp now) {
  Announcement& announcement = announcements_[endpoint.id];
  if (announcement.started_at_ms != endpoint.started_at_ms)
    announcement = Announcement{endpoint.started_at_ms};
  announcement.announced_at = now;
  return announcement;
}

}  // namespace teaselthread
