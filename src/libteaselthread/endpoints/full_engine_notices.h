#ifndef TEASELTHREAD_ENDPOINTS_FULL_ENGINE_NOTICES_H_
#define TEASELTHREAD_ENDPOINTS_FULL_ENGINE_NOTICES_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libteaselthread/endpoints/endpoint_table.h"

namespace teaselthread {

// Decides which counts of engines the other nodes of the availability zone must
// receive at once, because the engines are about as full as the load bound
// allows. Load updates in heartbeats reach a node about a second after the
// count, in which all nodes together send a full engine many more requests.
//
// Load pattern: one of three availability zones is evacuated, and the engines
// that become the primary ones of its documents fill up within a second, while
// each of 88 nodes sends them only one request at a time.
class FullEngineNotices {
 public:
  // The counts to send now, at most kMaxNotices. They count as shared from then
  // on.
  std::vector<LoadUpdate> TakeDue(const std::vector<EndpointPtr>& engines,
                                  double load_bound,
                                  Timestamp now);
  // The nodes of the zone have received this count from one of them.
  void OnShared(const LoadUpdate& count, Timestamp now);

  // Together with kMinInterval, limits the datagrams of a zone of 29 nodes to
  // about 10 a second for each node.
  static constexpr size_t kMaxNotices = 16;
  // Between two counts of an engine, over all nodes of the zone.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(300);

 private:
  std::map<uint32_t, Timestamp> shared_at_;  // time of the count, by endpoint
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_FULL_ENGINE_NOTICES_H_
