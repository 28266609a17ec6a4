#ifndef TEASELTHREAD_CONFIGURATION_H_
#define TEASELTHREAD_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "libteaselthread/error.h"
#include "libteaselthread/ini_document.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The settings of the requests that name this profile.
struct Profile {
  std::string name;
  int priority = 0;  // 0 is the highest priority
  Duration deadline{};
  // Whether a call may be retried after an attempt whose outcome is unknown.
  // Calls of other profiles need an idempotency key.
  bool repeatable = true;

  friend auto operator<=>(const Profile&, const Profile&) = default;
};

// Limits of one customer across the whole fleet.
struct CustomerLimits {
  double requests_per_second = 0;
  int concurrency = 0;

  friend auto operator<=>(const CustomerLimits&,
                          const CustomerLimits&) = default;
};

// Load limits for the endpoints of one model or service.
struct EndpointPolicy {
  // An endpoint's load is limited to this multiple of the mean load of the
  // endpoints that serve the same model. Not used for services.
  double load_multiple = 0;
  int slots = 0;             // concurrent requests at one endpoint
  int cold_concurrency = 0;  // the same during a cold start
  Duration ramp{};           // time to go from the cold limit to `slots`
  // How long a returning chat may wait for a slot at the endpoint that holds
  // its context before it is sent to another endpoint.
  Duration context_wait{};
  // A response whose first byte takes longer than this marks the endpoint as
  // cold.
  Duration cold_first_byte{};

  friend auto operator<=>(const EndpointPolicy&,
                          const EndpointPolicy&) = default;
};

// The document that operators maintain: profiles, limits, and the zones and VMs
// that are out of service. Immutable; a change creates a new value with a
// higher version.
class Configuration {
 public:
  static constexpr size_t kMaxTextBytes = 1'000'000;

  // Parses and validates a document; reports all errors together.
  static Result<Configuration> Parse(std::string_view text,
                                     std::string source,
                                     uint64_t version);

  uint64_t version() const { return version_; }
  const std::string& text() const { return text_; }
  // Random identifiers of the latest changes. A writer that lost the reply to
  // its write finds out by them whether its change was stored.
  const std::vector<std::string>& change_ids() const { return change_ids_; }

  const Profile* FindProfile(const std::string& name) const;
  const EndpointPolicy* FindModel(const std::string& name) const;
  const EndpointPolicy* FindService(const std::string& name) const;
  const CustomerLimits& LimitsOf(const std::string& customer) const;
  bool ZoneIsOut(const std::string& zone) const {
    return zones_out_.contains(zone);
  }
  bool VmIsOut(const std::string& vm) const { return vms_out_.contains(vm); }
  const std::set<std::string>& zones_out() const { return zones_out_; }
  const std::set<std::string>& vms_out() const { return vms_out_; }

 private:
  Configuration() = default;
  void ReadSection(const IniSection& section,
                   const std::string& source,
                   std::vector<Error>* errors);

  uint64_t version_ = 0;
  std::string text_;
  std::vector<std::string> change_ids_;
  std::map<std::string, Profile> profiles_;
  std::map<std::string, EndpointPolicy> models_;
  std::map<std::string, EndpointPolicy> services_;
  std::map<std::string, CustomerLimits> customers_;
  CustomerLimits default_limits_;
  std::set<std::string> zones_out_;
  std::set<std::string> vms_out_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_H_
