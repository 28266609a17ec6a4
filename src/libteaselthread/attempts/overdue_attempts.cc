#include "libteaselthread/attempts/overdue_attempts.h"

namespace teaselthread {
namespace {

// The latest of an endpoint's requests have a weight of 0.25 each in its
// failure rate, so one recent failure is enough.
constexpr double kMaxFailureRate = 0.2;
constexpr uint32_t kMinDomainEndpoints = 2;

struct DomainCount {
  uint32_t endpoints = 0;
  uint32_t in_doubt = 0;

  bool IsInDoubt() const {
    return in_doubt >= kMinDomainEndpoints && in_doubt * 2 >= endpoints;
  }
};

// What may be the common cause of slow responses of several endpoints.
std::vector<std::string> FailureDomainsOf(const EndpointRecord& record) {
  std::vector<std::string> domains = {"zone " + record.zone};
  if (!record.version.empty())
    domains.push_back("version " + record.version);
  return domains;
}

}  // namespace

void OverdueAttempts::Remove(const std::string& endpoint) {
  const auto entry = overdue_.find(endpoint);
  if (entry != overdue_.end() && --entry->second == 0)
    overdue_.erase(entry);
}

std::set<std::string> OverdueAttempts::EndpointsInDoubt(
    const std::vector<EndpointPtr>& endpoints,
    Timestamp now) const {
  std::map<std::string, DomainCount> domains;
  for (const EndpointPtr& endpoint : endpoints) {
    for (const std::string& domain : FailureDomainsOf(endpoint->record())) {
      ++domains[domain].endpoints;
      domains[domain].in_doubt += IsInDoubt(*endpoint, now) ? 1 : 0;
    }
  }
  std::set<std::string> in_doubt;
  for (const EndpointPtr& endpoint : endpoints) {
    bool shares_domain = false;
    for (const std::string& domain : FailureDomainsOf(endpoint->record()))
      shares_domain = shares_domain || domains[domain].IsInDoubt();
    if (shares_domain || IsInDoubt(*endpoint, now))
      in_doubt.insert(endpoint->record().id);
  }
  return in_doubt;
}

bool OverdueAttempts::IsInDoubt(const EndpointState& endpoint,
                                Timestamp now) const {
  return overdue_.contains(endpoint.record().id) ||
         endpoint.health().ejected() ||
         endpoint.health().failure_rate() > kMaxFailureRate ||
         endpoint.IsCold(now);
}

}  // namespace teaselthread
