#ifndef TEASELTHREAD_ERROR_H_
#define TEASELTHREAD_ERROR_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselthread {

enum class ErrorCode {
  kSyntax,
  kUnknownSection,
  kUnknownKey,
  kMissingKey,
  kOutOfRange,
  kBadValue,
  kUnreadableFile,
  kMalformed,
  kOversized,
  kConflict,
  kNotFound,
  kUnavailable,     // nothing was sent
  kConnectionLost,  // after something was sent
  kTimeout,
  kSuperseded,  // aborted, to be sent again
};

std::string_view ToString(ErrorCode code);

// A failure: its type, and a human-readable text that tells where and why.
struct Error {
  ErrorCode code = ErrorCode::kMalformed;
  std::string detail;

  friend auto operator<=>(const Error&, const Error&) = default;
};

// Formats the error as one line, "detail (code)".
std::string Describe(const Error& error);

// A value, or at least one error that tells why there is no value.
template <typename T>
class Result {
 public:
  // Implicit, so that functions can return a value or an error directly.
  // NOLINTBEGIN(google-explicit-constructor)
  Result(T value) : value_(std::move(value)) {}
  Result(Error reason) : reasons_{std::move(reason)} {}
  Result(std::vector<Error> reasons) : reasons_(std::move(reasons)) {}
  // NOLINTEND(google-explicit-constructor)

  bool has_value() const { return value_.has_value(); }
  explicit operator bool() const { return has_value(); }
  const T& value() const { return *value_; }
  T&& TakeValue() { return std::move(*value_); }
  const T& operator*() const { return *value_; }
  const T* operator->() const { return &*value_; }
  const std::vector<Error>& reasons() const { return reasons_; }
  const Error& last_reason() const { return reasons_.back(); }

 private:
  std::optional<T> value_;
  std::vector<Error> reasons_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ERROR_H_
