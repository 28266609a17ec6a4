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
#include "libteaselthread/routes/route_table.h"
#include "teaselthread/asio.h"

namespace teaselthread {

using EndpointHttpRequest = http::request<http::string_body>;

// What a caller's request head says, beyond plain HTTP.
struct CallerHead {
  std::string id;                         // of this attempt of the caller
  std::optional<Duration> time_left;      // that the caller will wait
  std::string key;                        // empty if there is none
  std::vector<PromptPart> prompt;         // in the prompt's order
  std::optional<uint64_t> last_event_id;  // what the caller has got already
};

// What the gateway adds to a request on its way to an endpoint.
struct SendInstructions {
  std::string endpoint_id;  // any other endpoint is to reject it
  std::string customer;     // empty on public routes
  Duration time_left{};
  std::optional<uint64_t> resume_after;  // id of the last event relayed
  std::optional<SocketAddress> kv_source;
  std::optional<int> engine_priority;  // 0 (first) to 9
};

// What an endpoint's answer head says, beyond plain HTTP.
struct EndpointHead {
  std::string request_id;  // empty if the endpoint does not echo it
  bool not_run = false;    // the endpoint states so
  std::optional<LoadReport> load;
  std::optional<Duration> cold_left;
};

enum class StoreKind : uint8_t {
  kConfiguration,
  kEndpoints,
  kEvacuations,
  kNodes,  // the gateway's own
};
inline constexpr size_t kStoreKindCount = 4;
std::string_view ToString(StoreKind kind);

// One object of the platform's store, or the news that it is gone.
struct StoreObject {
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  boost::json::value content;
};

// An answer to a list or watch call.
struct StorePage {
  std::vector<StoreObject> objects;
  uint64_t revision = 0;  // of the store, to watch from
  bool has_more = false;  // the list goes on after the last name
};

// How one deployment's callers, endpoints, store and operators speak: names,
// formats and calls. It translates and decides nothing.
class WireCodec {
 public:
  virtual ~WireCodec() = default;

  virtual CallerHead DecodeCaller(const http::fields& fields) const = 0;
  // Copies what may be passed on, and adds the instructions.
  virtual void EncodeForEndpoint(const http::fields& from,
                                 const SendInstructions& instructions,
                                 EndpointHttpRequest* to) const = 0;
  virtual EndpointHead DecodeEndpoint(const http::fields& fields) const = 0;

  // Calls of the directory and of health checks.
  virtual bool IsReadinessCall(std::string_view path) const = 0;
  virtual bool IsDirectoryCall(std::string_view path) const = 0;
  // The availability zone of the caller; empty if the call names none.
  virtual std::string DirectoryZone(std::string_view target) const = 0;
  virtual std::string EncodeDirectory(const std::vector<Peer>& nodes,
                                      Duration ttl) const = 0;

  // Calls of the store: targets of GET.
  virtual std::string ListTarget(StoreKind kind,
                                 const std::string& after,
                                 bool may_be_stale) const = 0;
  virtual std::string WatchTarget(StoreKind kind,
                                  uint64_t revision,
                                  Duration wait) const = 0;
  // Target of PUT and DELETE, and with an empty name of POST.
  virtual std::string ObjectTarget(StoreKind kind,
                                   const std::string& name) const = 0;
  virtual std::string EncodeObject(const StoreObject& object) const = 0;
  virtual Result<StorePage> DecodeList(const std::string& body) const = 0;
  virtual Result<StorePage> DecodeWatch(const std::string& body) const = 0;

  virtual Result<RouteTableParts> DecodeConfiguration(
      const StoreObject& object) const = 0;
  virtual Result<EndpointRecord> DecodeEndpointRecord(
      const StoreObject& object) const = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_WIRE_CODEC_H_
