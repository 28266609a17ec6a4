#ifndef TEASELTHREAD_CONFIGURATION_WRITER_H_
#define TEASELTHREAD_CONFIGURATION_WRITER_H_

#include <string>

#include "libteaselthread/configuration_command.h"
#include "teaselthread/platform_client.h"

namespace teaselthread {

// Puts operators' changes into the platform by conditional writes. A change is
// accepted once its write is known to have taken effect; a lost reply is
// settled by reading back the change ids in the document.
class ConfigurationWriter {
 public:
  explicit ConfigurationWriter(PlatformClient client)
      : client_(std::move(client)) {}

  // Returns the document that was accepted. Errors: kConflict (another change
  // came first; nothing was changed), kTimeout (not known whether accepted),
  // kUnavailable (nothing was changed), and those of the command and of the
  // document's check.
  asio::awaitable<Result<PlatformObject>> Apply(
      const ConfigurationCommand& command,
      bool retry_on_conflict);

  // The document in force; version 0 and no text if there is none.
  asio::awaitable<Result<PlatformObject>> ReadCurrent();

 private:
  asio::awaitable<Result<PlatformObject>> SettleLostReply(
      std::string change_id,
      uint64_t version_before);

  PlatformClient client_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_WRITER_H_
