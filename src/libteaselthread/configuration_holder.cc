#include "libteaselthread/configuration_holder.h"

namespace teaselthread {

ConfigurationHolder::UpdateResult ConfigurationHolder::UpdateIfNewer(
    uint64_t version,
    const std::string& text) {
  if (version <= this->version())
    return UpdateResult::kNotNewer;
  Result<Configuration> parsed =
      Configuration::Parse(text, "configuration", version);
  if (!parsed) {
    last_reason_ = parsed.last_reason();
    return UpdateResult::kRejected;
  }
  current_ = std::make_shared<const Configuration>(parsed.TakeValue());
  return UpdateResult::kApplied;
}

}  // namespace teaselthread
