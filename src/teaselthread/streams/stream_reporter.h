#ifndef TEASELTHREAD_STREAMS_STREAM_REPORTER_H_
#define TEASELTHREAD_STREAMS_STREAM_REPORTER_H_

#include <vector>

#include "teaselthread/gateway/peer_heartbeat.h"

namespace teaselthread {

// Tells the zone leader and its deputy which versions began the streams of this
// gateway, as long as endpoints of several versions serve or have served
// lately, and takes the reports of the others.
class StreamReporter {
 public:
  StreamReporter(GatewayState* state, PeerHeartbeat* heartbeat)
      : state_(state), heartbeat_(heartbeat) {}
  StreamReporter(const StreamReporter&) = delete;
  StreamReporter& operator=(const StreamReporter&) = delete;

  void Start();

 private:
  void Send(Timestamp now);
  void OnStreams(const std::vector<StreamOrigin>& streams);
  // The first two gateways of the zone, without this one.
  std::vector<SocketAddress> Recorders(Timestamp now) const;

  GatewayState* state_;
  PeerHeartbeat* heartbeat_;
  std::vector<SocketAddress> recorders_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_STREAM_REPORTER_H_
