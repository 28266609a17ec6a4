#ifndef TEASELTHREAD_CALLERS_CONNECTION_END_H_
#define TEASELTHREAD_CALLERS_CONNECTION_END_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselthread {

// How a caller's connection ended, and so what the caller has of the last
// response on it.
enum class ConnectionEnd : uint8_t {
  kCallerClosed,    // the caller closed its side first
  kAcknowledged,    // the caller has acknowledged all that was sent
  kUnacknowledged,  // closed, or broken by the caller, before it has
                    // acknowledged all
  kUnreadInput,     // closed with bytes of the caller that were not read, which
                    // resets the connection
  kReset,           // reset on purpose, as the response is incomplete
};
inline constexpr size_t kConnectionEndCount = 5;

// Name in lower case with hyphens, as used in metrics and log lines.
constexpr std::string_view ToString(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kCallerClosed:
      return "caller-closed";
    case ConnectionEnd::kAcknowledged:
      return "acknowledged";
    case ConnectionEnd::kUnacknowledged:
      return "unacknowledged";
    case ConnectionEnd::kUnreadInput:
      return "unread-input";
    case ConnectionEnd::kReset:
      break;
  }
  return "reset";
}

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_CONNECTION_END_H_
