#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_ANNOUNCEMENTS_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_ANNOUNCEMENTS_H_

#include <map>
#include <optional>
#include <string>

#include "libteaselthread/endpoints/endpoint_record.h"

namespace teaselthread {

// What endpoints have said of themselves in their responses to this node. An
// announcement holds for one incarnation of an endpoint, also if its record in
// the store says otherwise, or lapses and is registered again.
//
// Load pattern: endpoints that leave while the store cannot tell of it, or turn
// requests away because they are overloaded.
class EndpointAnnouncements {
 public:
  // The endpoint leaves and must not get new requests. Returns whether this
  // node did not know that.
  bool OnLeaving(const EndpointRecord& endpoint, Timestamp now);
  // The endpoint does not want requests before `until`.
  void OnPause(const EndpointRecord& endpoint, Timestamp until, Timestamp now);

  bool IsLeaving(const EndpointRecord& endpoint) const;
  // How long the endpoint still wants no requests; zero if it does.
  Duration PauseLeft(const EndpointRecord& endpoint, Timestamp now) const;

  // Forgets announcements that can no longer matter.
  void Sweep(Timestamp now);

 private:
  struct Announcement {
    uint64_t started_at_ms = 0;  // of the incarnation
    bool is_leaving = false;
    Timestamp paused_until{};
    Timestamp announced_at{};  // the latest one
  };

  const Announcement* Find(const EndpointRecord& endpoint) const;
  Announcement& Insert(const EndpointRecord& endpoint, Timestamp now);

  std::map<std::string, Announcement> announcements_;  // by endpoint id
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_ANNOUNCEMENTS_H_
