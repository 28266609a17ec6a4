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
  // Takes the list if its version, the platform's revision, is higher than
  // that of the list known. Returns whether it did.
  bool Replace(uint64_t version, std::vector<Endpoint> endpoints);

  // 0 until the first list has come.
  uint64_t version() const { return version_; }

  const std::map<std::string, Endpoint>& all() const { return by_name_; }
  const Endpoint* Find(const std::string& name) const;
  // Every endpoint that serves the model or service, usable or not.
  const std::vector<const Endpoint*>& Serving(EndpointKind kind,
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

  uint64_t version_ = 0;
  std::map<std::string, Endpoint> by_name_;
  std::map<Target, std::vector<const Endpoint*>> by_target_;
  std::vector<const Endpoint*> none_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_DIRECTORY_H_
