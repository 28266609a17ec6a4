#include "libteaselthread/configuration_holder.h"

namespace teaselthread {

ConfigurationHolder::Offer ConfigurationHolder::Consider(
    uint64_t version,
    const std::string& text) {
  if (version <= this->version())
    return Offer::kNotNewer;
  Result<Configuration> parsed =
      Configuration::Parse(text, "configuration", version);
  if (!parsed) {
    last_reason_ = parsed.last_reason();
    return Offer::kRejected;
  }
  current_ = std::make_shared<const Configuration>(parsed.TakeValue());
  return Offer::kTaken;
}

}  // namespace teaselthread
