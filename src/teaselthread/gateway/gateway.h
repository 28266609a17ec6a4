#ifndef TEASELTHREAD_GATEWAY_GATEWAY_H_
#define TEASELTHREAD_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>

#include "teaselthread/gateway/admin_server.h"
#include "teaselthread/gateway/front_server.h"
#include "teaselthread/gateway/peer_heartbeat.h"
#include "teaselthread/gateway/rate_limit_controller.h"
#include "teaselthread/gateway/rollout_controller.h"
#include "teaselthread/store/fleet_records.h"
#include "teaselthread/store/node_registrar.h"
#include "teaselthread/store/rollout_writer.h"
#include "teaselthread/store/store_controller.h"
#include "teaselthread/streams/stream_record_reader.h"
#include "teaselthread/streams/stream_recorder.h"
#include "teaselthread/streams/stream_reporter.h"

namespace teaselthread {

// One gateway process: its state, listeners and controllers.
class Gateway {
 public:
  // Runs until SIGTERM or SIGINT. Then waits for the requests in progress, at
  // most until shortly before the leaving grace is over.
  static Result<int> Run(GatewaySettings settings,
                         const WireCodec* codec,
                         const std::string& settings_file);

 private:
  Gateway(asio::io_context* io,
          GatewaySettings settings,
          const WireCodec* codec);

  Result<bool> Start();
  // Tells the zone of engines that have reached the load bound.
  void SendFullEngineNotices(Timestamp now);
  asio::awaitable<void> DriveTimers();
  asio::awaitable<void> ReloadOnSignal(std::string settings_file);
  asio::awaitable<void> LeaveOnSignal();

  asio::io_context* io_;
  GatewayState state_;
  FrontServer front_;
  AdminServer admin_;
  StoreController store_;
  NodeRegistrar registrar_;
  FleetRecords fleet_records_;
  std::unique_ptr<PeerHeartbeat> heartbeat_;
  RolloutWriter rollout_writer_;
  std::unique_ptr<RolloutController> rollouts_;
  std::unique_ptr<RateLimitController> rate_limits_;
  StreamRecordReader stream_record_reader_;
  StreamRecorder stream_recorder_;
  std::unique_ptr<StreamReporter> stream_reporter_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_GATEWAY_H_
