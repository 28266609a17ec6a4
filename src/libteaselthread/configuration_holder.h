#ifndef TEASELTHREAD_CONFIGURATION_HOLDER_H_
#define TEASELTHREAD_CONFIGURATION_HOLDER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libteaselthread/configuration.h"

namespace teaselthread {

// Holds the newest configuration that this node has received from the platform
// or from a peer. It never goes back to an older version.
class ConfigurationHolder {
 public:
  enum class UpdateResult { kApplied, kNotNewer, kRejected };

  // Applies the document if it is valid and its version is higher than the
  // current one. `last_reason` tells why a document was rejected.
  UpdateResult UpdateIfNewer(uint64_t version, const std::string& text);

  // Null until the first document has been applied.
  std::shared_ptr<const Configuration> current() const { return current_; }
  uint64_t version() const { return current_ ? current_->version() : 0; }
  const Error& last_reason() const { return last_reason_; }

 private:
  std::shared_ptr<const Configuration> current_;
  Error last_reason_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_HOLDER_H_
