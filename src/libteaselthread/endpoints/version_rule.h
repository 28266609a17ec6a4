#ifndef TEASELTHREAD_ENDPOINTS_VERSION_RULE_H_
#define TEASELTHREAD_ENDPOINTS_VERSION_RULE_H_

#include <compare>
#include <optional>
#include <set>
#include <string>

#include "libteaselthread/endpoints/endpoint_record.h"

namespace teaselthread {

// Limits a request to endpoints of certain versions.
struct VersionRule {
  std::optional<std::string> only;  // version; any if empty
  std::set<std::string> barred;     // versions
  std::set<std::string> endpoints;  // ids; any if empty

  bool Allows(const EndpointRecord& record) const {
    return (!only || record.version == *only) &&
           !barred.contains(record.version) &&
           (endpoints.empty() || endpoints.contains(record.id));
  }

  friend auto operator<=>(const VersionRule&, const VersionRule&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_VERSION_RULE_H_
