#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_SELECTOR_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_SELECTOR_H_

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libteaselthread/endpoints/endpoint_table.h"
#include "libteaselthread/endpoints/version_rule.h"

namespace teaselthread {

// One part of a prompt. Requests with equal leading parts share their KV
// cache; the last part is specific to the request or its session.
struct PromptPart {
  std::string id;
  uint32_t tokens = 0;

  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

// The properties of a request that its placement depends on.
struct SelectionQuery {
  const ServiceSpec* service = nullptr;
  std::vector<PromptPart> prompt;  // empty for plain services
  std::set<std::string> excluded;  // endpoints that were already tried
  // Share of the service's recent requests that have the same affinity part,
  // from 0 to 1.
  double affinity_share = 0;
  // The version that may get the request; any if empty.
  std::optional<std::string> version;
  // Whether the request is sent even if each engine is at its load bound.
  bool ignores_load_bound = false;
  // For plain services: the time that a request usually takes, and a random
  // number. Used only if endpoints report their speed.
  Duration work_time{};
  uint64_t seed = 0;
};

// The part of a prompt that decides the placement: the longest shared part, or
// the last part if none is shared. The prompt must not be empty.
const PromptPart& AffinityPart(const std::vector<PromptPart>& prompt);

// The endpoint chosen for a request, and what the choice was based on.
struct Selection {
  EndpointPtr endpoint;
  // An engine that may hold more of the prompt's KV cache, from which it can be
  // copied.
  std::optional<SocketAddress> kv_source;
  // For model engines: the affinity part, the endpoint's rank for it (0 is the
  // primary engine) and the load that an endpoint was not to exceed.
  std::string affinity_part;
  uint32_t shared_tokens = 0;
  uint32_t rank = 0;
  double load_bound = 0;
  // The mean load that the bound was computed from, and the number of engines
  // that it was taken over.
  double mean_load = 0;
  uint32_t engines_counted = 0;
  // Number of engines that could receive the request.
  uint32_t engines_usable = 0;
  // All of them were over load_bound, and the least loaded one was chosen.
  bool over_bound = false;
  // The multiple of the usual work time after which the response was expected;
  // 0 if no endpoint reports its speed. For plain services.
  double work_multiple = 0;
  // Number of endpoints that were left out because this node's shares of their
  // rate limits were used up.
  uint32_t limited = 0;
  // Number of engines over which requests for that part are spread; 1 unless
  // the part is hot.
  uint32_t spread = 1;
};

// Why no endpoint can be selected at the moment.
enum class NoEndpointReason : uint8_t {
  kNoneAvailable,  // all are removed, leaving or in evacuated zones
  kAllPaused,      // the others have asked for a pause
  kAllCold,        // this node's shares of their cold-start limits are used up
  kAllTried,       // all were tried before for this request
  kAllAtBound,     // all engines are at the load bound of the operators
  kAllLimited,     // this node's shares of their rate limits are used up
};
std::string_view ToString(NoEndpointReason reason);

using SelectionResult = std::variant<Selection, NoEndpointReason>;

// The state of the fleet that a selection depends on.
struct SelectionContext {
  std::string zone;                // the node's own
  std::string node;                // the node's own name
  std::vector<std::string> nodes;  // all that may be alive, this one included
  double cold_over = 1;            // multiple of a service's cold-start rate
  double cold_slack = 0;           // requests per second in addition
  double load_multiple = 2;  // operators' bound: multiple of the mean load
  // The service's requests in progress, from all nodes. If it is not set, the
  // sum of the endpoints' estimated loads is used.
  std::optional<double> service_requests;
  // Set while a rollout limits the versions that may get the request.
  std::optional<VersionRule> versions;
};

// Chooses the endpoint of a request.
//
// Model engines: a long shared part of the prompt has a primary engine. All
// nodes choose the same one by rendezvous hashing, without communicating. If
// the primary engine has more than its fair share of the load, requests go to
// the next in rank, which copies the KV cache from it. If all have, the least
// loaded one is chosen, and if that one is at the operators' bound, none is:
// more requests there would only wait in its queue. For short shared parts,
// one prefill in each availability zone is cheaper than sending requests across
// zones, so they have a primary engine in each zone.
// Load pattern: many recurring chats on few long documents, one of which
// becomes hot, while engines start and stop.
//
// Plain services: the least loaded endpoint in the node's own zone, or in all
// zones if that one is busy. If endpoints report how long work takes, the one
// where the response is expected first (SelectBySpeed), and an engine that is
// slower than the mean counts as that much busier.
// Load pattern: short calls with bursts from a few customers.
class EndpointSelector {
 public:
  explicit EndpointSelector(const EndpointTable* table) : table_(table) {}

  SelectionResult Select(const SelectionQuery& query,
                         const SelectionContext& context,
                         Timestamp now) const;
  // The load that an engine of the service is not to exceed, while so few of
  // its engines are usable that most of them are near it. Empty otherwise.
  // `requests`: those of the service in progress, from all nodes.
  std::optional<double> ReducedLoadBound(const std::string& service,
                                         double requests,
                                         Timestamp now) const;

 private:
  const EndpointTable* table_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_SELECTOR_H_
