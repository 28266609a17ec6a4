#ifndef TEASELTHREAD_GATEWAY_WIRE_CODEC_H_
#define TEASELTHREAD_GATEWAY_WIRE_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/peers/peer_set.h"
#include "libteaselthread/rollouts/rollout_order.h"
#include "libteaselthread/routes/route_table.h"
#include "teaselthread/asio.h"

namespace teaselthread {

using EndpointHttpRequest = http::request<http::string_body>;

// Contents of a caller's request header that are specific to the deployment.
struct CallerHead {
  std::string id;                         // of this attempt by the caller
  std::optional<Duration> time_left;      // until the caller stops waiting
  std::string key;                        // API key; empty if absent
  std::vector<PromptPart> prompt;         // in the prompt's order
  std::optional<uint64_t> last_event_id;  // last event the caller received
  // It has received some, whether or not last_event_id is a number.
  bool continues_stream = false;
  // Of its request that got the first event; empty if it names none.
  std::string resumed_id;
};

// What the gateway adds to a request that it sends to an endpoint.
struct SendInstructions {
  std::string endpoint_id;  // any other endpoint must reject the request
  std::string customer;     // empty on public routes
  Duration time_left{};
  std::optional<uint64_t> resume_after;  // id of the last event relayed
  std::optional<SocketAddress> kv_source;
  std::optional<int> engine_priority;  // 0 (first) to 9
};

// Contents of an endpoint's response header that are specific to the
// deployment.
struct EndpointHead {
  std::string request_id;  // empty if the endpoint does not echo it
  bool not_run = false;  // the endpoint states that it did not run the request
  bool is_leaving = false;  // the endpoint must not get new requests
  std::optional<LoadReport> load;
  std::optional<Duration> cold_left;
  // For how long the endpoint wants no requests if it has turned this one away.
  std::optional<Duration> pause;
  // Requests per second that the endpoint takes from all nodes together.
  std::optional<double> rate_limit;
  // It names a limit that is not a number of requests.
  bool has_unreadable_rate_limit = false;
};

enum class StoreKind : uint8_t {
  kConfiguration,
  kEndpoints,
  kEvacuations,
  kNodes,  // written by the gateways
  kRollouts,
  kStreams,  // written by the gateways
  kFleet,    // written by the gateways; see FleetRecords
};
inline constexpr size_t kStoreKindCount = 7;
std::string_view ToString(StoreKind kind);

// One object of the platform's store, or a notice of its removal.
struct StoreObject {
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  boost::json::value content;
  boost::json::value status;  // written by the system; null if there is none
};

// A response to a list or watch call.
struct StorePage {
  std::vector<StoreObject> objects;
  uint64_t revision = 0;    // of the store; a watch starts from it
  bool has_more = false;    // the list continues after the last name
  size_t unidentified = 0;  // objects that were left out: unreadable names
};

// Encodes and decodes the names, formats and calls that one deployment's
// callers, endpoints, store and operators use. Implementations translate only
// and make no decisions.
class WireCodec {
 public:
  virtual ~WireCodec() = default;

  virtual CallerHead DecodeCaller(const http::fields& fields) const = 0;
  // Copies the fields that may be forwarded and adds the instructions.
  virtual void EncodeForEndpoint(const http::fields& from,
                                 const SendInstructions& instructions,
                                 EndpointHttpRequest* to) const = 0;
  virtual EndpointHead DecodeEndpoint(const http::fields& fields) const = 0;

  // Paths of the readiness check and of the directory.
  virtual bool IsReadinessCall(std::string_view path) const = 0;
  virtual bool IsDirectoryCall(std::string_view path) const = 0;
  // The availability zone of the caller; empty if the call names none.
  virtual std::string DirectoryZone(std::string_view target) const = 0;
  virtual std::string EncodeDirectory(const std::vector<Peer>& nodes,
                                      Duration ttl) const = 0;

  // Targets of GET calls to the store.
  virtual std::string ListTarget(StoreKind kind,
                                 const std::string& after,
                                 bool may_be_stale) const = 0;
  virtual std::string WatchTarget(StoreKind kind,
                                  uint64_t revision,
                                  Duration wait) const = 0;
  // Target of PUT and DELETE calls; of POST calls if the name is empty.
  virtual std::string ObjectTarget(StoreKind kind,
                                   const std::string& name) const = 0;
  // Target of a DELETE call that the store rejects unless `revision` is the
  // object's current one.
  virtual std::string RemovalTarget(StoreKind kind,
                                    const std::string& name,
                                    uint64_t revision) const = 0;
  virtual std::string EncodeObject(const StoreObject& object) const = 0;
  // The store's epoch, which rises when the store is restored from an older
  // copy. Empty if the response does not name one.
  virtual StoreEpoch DecodeStoreEpoch(const http::fields& fields) const = 0;
  virtual Result<StorePage> DecodeList(const std::string& body) const = 0;
  virtual Result<StorePage> DecodeWatch(const std::string& body) const = 0;

  virtual Result<RouteTableParts> DecodeConfiguration(
      const StoreObject& object) const = 0;
  virtual Result<EndpointRecord> DecodeEndpointRecord(
      const StoreObject& object) const = 0;

  virtual Result<RolloutOrder> DecodeRollout(
      const StoreObject& object) const = 0;
  // Target and body of the PUT call that writes the status of an order. The
  // store rejects it unless `revision` is the object's current one.
  virtual std::string StatusTarget(const std::string& name) const = 0;
  virtual std::string EncodeStatus(const std::string& name,
                                   const RolloutStatus& status,
                                   uint64_t revision) const = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_WIRE_CODEC_H_
