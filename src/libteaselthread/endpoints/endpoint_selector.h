#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_SELECTOR_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_SELECTOR_H_

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libteaselthread/endpoints/endpoint_table.h"

namespace teaselthread {

// One part of a prompt. Requests with equal leading parts share their KV
// cache; the last part belongs to the request or its session alone.
struct PromptPart {
  std::string id;
  uint32_t tokens = 0;

  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

// What a placement depends on, besides the state of the endpoints.
struct SelectionQuery {
  const ServiceSpec* service = nullptr;
  std::vector<PromptPart> prompt;  // empty for plain services
  std::set<std::string> excluded;  // endpoints that have been tried
  // Of the service's recent requests, those with the same home part: 0 to 1.
  double affinity_share = 0;
};

// The part of a prompt that decides where it goes: the longest shared one, the
// last one if none is shared. The prompt must not be empty.
const PromptPart& AffinityPart(const std::vector<PromptPart>& prompt);

// Where a request goes.
struct Selection {
  EndpointPtr endpoint;
  // An engine that may hold more of the prompt's KV cache, to copy it from.
  std::optional<SocketAddress> kv_source;
  // For model engines: the part that decided, the endpoint's rank for it (0 is
  // the home) and the load that an endpoint was to stay below.
  std::string affinity_part;
  uint32_t shared_tokens = 0;
  uint32_t rank = 0;
  double load_bound = 0;
  // Over how many engines requests for that part are spread; 1 unless hot.
  uint32_t spread = 1;
};

// Why there is no endpoint now.
enum class NoEndpointReason : uint8_t {
  kNoneAvailable,  // all are gone, leaving or in evacuated zones
  kAllCold,        // this node's share of their cold limits is used up
  kAllTried,
};
std::string_view ToString(NoEndpointReason reason);

using SelectionResult = std::variant<Selection, NoEndpointReason>;

// The fleet as the selector needs it.
struct SelectionContext {
  std::string zone;                // the node's own
  std::string node;                // the node's own name
  std::vector<std::string> nodes;  // all that may be alive, the node included
  double cold_over = 1;            // multiple of a service's cold rate
  double cold_slack = 0;           // requests a second beyond it
  // Requests of the service under way, from all nodes; without it they are
  // judged by the endpoints' own counts.
  std::optional<double> service_requests;
};

// Chooses the endpoint of a request.
//
// Model engines: a long shared part of the prompt has a home engine, which all
// nodes agree on by rendezvous hashing and without talking. A home that holds
// more than its fair share passes requests on to the next in rank, which
// copies the KV cache from it. Short shared parts are cheaper to read once in
// each availability zone than to reach across zones, so they have a home in
// each.
// Load pattern: many returning chats on few long documents, with a document
// that becomes hot, and engines that come and go.
//
// Plain services: the least loaded endpoint of the own zone, or of all zones
// once it is busy.
// Load pattern: short calls with bursts from a few customers.
class EndpointSelector {
 public:
  explicit EndpointSelector(const EndpointTable* table) : table_(table) {}

  SelectionResult Select(const SelectionQuery& query,
                         const SelectionContext& view,
                         Timestamp now) const;

 private:
  const EndpointTable* table_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_SELECTOR_H_
