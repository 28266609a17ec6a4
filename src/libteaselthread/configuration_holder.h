#ifndef TEASELTHREAD_CONFIGURATION_HOLDER_H_
#define TEASELTHREAD_CONFIGURATION_HOLDER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libteaselthread/configuration.h"

namespace teaselthread {

// Keeps the newest configuration that this node has heard of, from the
// platform or from a peer. It never goes back to an older version.
class ConfigurationHolder {
 public:
  enum class Offer { kTaken, kNotNewer, kRejected };

  // Takes the document if its version is higher than the one in force and it
  // is valid; `last_reason` tells why one was rejected.
  Offer Consider(uint64_t version, const std::string& text);

  // Null until the first document has been taken.
  std::shared_ptr<const Configuration> current() const { return current_; }
  uint64_t version() const { return current_ ? current_->version() : 0; }
  const Error& last_reason() const { return last_reason_; }

 private:
  std::shared_ptr<const Configuration> current_;
  Error last_reason_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_HOLDER_H_
