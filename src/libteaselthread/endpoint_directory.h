#ifndef TEASELTHREAD_ENDPOINT_DIRECTORY_H_
#define TEASELTHREAD_ENDPOINT_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "libteaselthread/configuration.h"
#include "libteaselthread/endpoint.h"

namespace teaselthread {

// The endpoints on the platform's list, by name and by what they serve.
class EndpointDirectory {
 public:
  void Replace(std::vector<Endpoint> endpoints);

  const std::map<std::string, Endpoint>& all() const { return by_name_; }
  // Changes with each Replace.
  uint64_t revision() const { return revision_; }
  const Endpoint* Find(const std::string& name) const;
  // Every endpoint that serves the model or service, usable or not.
  std::vector<const Endpoint*> Serving(EndpointKind kind,
                                       const std::string& target) const;

  // Whether the endpoint may be given new work.
  static bool TakesNewWork(const Endpoint& endpoint,
                           const Configuration& configuration);

 private:
  struct Target {
    EndpointKind kind;
    std::string name;
    friend auto operator<=>(const Target&, const Target&) = default;
  };

  uint64_t revision_ = 0;
  std::map<std::string, Endpoint> by_name_;
  std::map<Target, std::vector<const Endpoint*>> by_target_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_DIRECTORY_H_
