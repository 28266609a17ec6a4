#ifndef TEASELTHREAD_CALLERS_CLOSING_REASON_H_
#define TEASELTHREAD_CALLERS_CLOSING_REASON_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselthread {

// Why a caller's connection was closed without a response to a request.
enum class ClosingReason : uint8_t {
  kRefusedBefore,  // it was refused and made room for a new connection
  kSilent,         // it had sent nothing and made room for a new connection
  kIdle,           // it was idle and made room for a new connection
  kUnreadStream,   // memory was short and the caller did not read its stream
};
inline constexpr size_t kClosingReasonCount = 4;

// Name in lower case with hyphens, as used in metrics and log lines.
constexpr std::string_view ToString(ClosingReason reason) {
  switch (reason) {
    case ClosingReason::kRefusedBefore:
      return "refused-before";
    case ClosingReason::kSilent:
      return "silent";
    case ClosingReason::kIdle:
      return "idle";
    case ClosingReason::kUnreadStream:
      break;
  }
  return "unread-stream";
}

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_CLOSING_REASON_H_
