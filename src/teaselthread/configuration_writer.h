#ifndef TEASELTHREAD_CONFIGURATION_WRITER_H_
#define TEASELTHREAD_CONFIGURATION_WRITER_H_

#include <string>

#include "libteaselthread/configuration_command.h"
#include "teaselthread/platform_client.h"

namespace teaselthread {

// Applies operators' changes to the document in the platform by conditional
// writes. A change is accepted once its write is known to have taken effect. If
// the reply to a write is lost, the change ids in the document are read back to
// find out whether it has.
class ConfigurationWriter {
 public:
  explicit ConfigurationWriter(PlatformClient client)
      : client_(std::move(client)) {}

  // Returns the accepted document. Errors: kConflict (another change was
  // accepted first; nothing was changed), kTimeout (unknown whether the change
  // was accepted), kUnavailable (nothing was changed), and the errors of the
  // command and of the validation of the document.
  asio::awaitable<Result<PlatformObject>> Apply(
      const ConfigurationCommand& command,
      bool retry_on_conflict);

  // Returns the document in force, or version 0 with an empty value if there is
  // none.
  asio::awaitable<Result<PlatformObject>> ReadCurrent();

 private:
  asio::awaitable<Result<PlatformObject>> ResolveLostReply(
      std::string change_id,
      uint64_t version_before);

  PlatformClient client_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_WRITER_H_
