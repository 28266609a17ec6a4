#ifndef TEASELTHREAD_ENDPOINT_DIRECTORY_H_
#define TEASELTHREAD_ENDPOINT_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "libteaselthread/configuration.h"
#include "libteaselthread/endpoint.h"

namespace teaselthread {

// The endpoints on the platform's list, indexed by name and by the model or
// service that they serve.
class EndpointDirectory {
 public:
  // Replaces the list if the new version, which is the platform's revision, is
  // higher than the current one. Returns whether the list was replaced.
  bool Replace(uint64_t version, std::vector<Endpoint> endpoints);

  // 0 until the first list has been received.
  uint64_t version() const { return version_; }

  const std::map<std::string, Endpoint>& all() const { return by_name_; }
  const Endpoint* Find(const std::string& name) const;
  // All endpoints that serve the model or service, also those that accept no
  // new requests.
  const std::vector<const Endpoint*>& Serving(EndpointKind kind,
                                              const std::string& target) const;

  // Whether the endpoint may be sent new requests.
  static bool AcceptsNewRequests(const Endpoint& endpoint,
                                 const Configuration& configuration);

 private:
  struct Target {
    EndpointKind kind;
    std::string name;
    friend auto operator<=>(const Target&, const Target&) = default;
  };

  uint64_t version_ = 0;
  std::map<std::string, Endpoint> by_name_;
  std::map<Target, std::vector<const Endpoint*>> by_target_;
  std::vector<const Endpoint*> none_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_DIRECTORY_H_
