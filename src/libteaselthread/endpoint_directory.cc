#include "libteaselthread/endpoint_directory.h"

namespace teaselthread {

bool EndpointDirectory::Replace(uint64_t version,
                                std::vector<Endpoint> endpoints) {
  if (version <= version_)
    return false;
  version_ = version;
  by_name_.clear();
  by_target_.clear();
  for (Endpoint& endpoint : endpoints) {
    const std::string name = endpoint.name;
    by_name_.insert_or_assign(name, std::move(endpoint));
  }
  for (const auto& [name, endpoint] : by_name_) {
    for (const std::string& target : endpoint.serves)
      by_target_[{endpoint.kind, target}].push_back(&endpoint);
  }
  return true;
}

const Endpoint* EndpointDirectory::Find(const std::string& name) const {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &found->second;
}

const std::vector<const Endpoint*>& EndpointDirectory::Serving(
    EndpointKind kind,
    const std::string& target) const {
  auto found = by_target_.find({kind, target});
  if (found == by_target_.end())
    return none_;
  return found->second;
}

bool EndpointDirectory::AcceptsNewRequests(const Endpoint& endpoint,
                                           const Configuration& configuration) {
  return !endpoint.leaving && !configuration.ZoneIsOut(endpoint.zone) &&
         !configuration.VmIsOut(endpoint.name);
}

}  // namespace teaselthread
