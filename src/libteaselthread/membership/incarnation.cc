#include "libteaselthread/membership/incarnation.h"

#include <cctype>
#include <charconv>

namespace teaselthread {
namespace {

constexpr size_t kHexDigits = 16;
constexpr int kHexBase = 16;

}  // namespace

std::optional<Incarnation> Incarnation::Parse(std::string_view text) {
  if (text.size() != kHexDigits)
    return std::nullopt;
  for (char c : text) {
    if (std::isupper(static_cast<unsigned char>(c)))
      return std::nullopt;
  }
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  auto [stop, status] = std::from_chars(text.data(), end, value, kHexBase);
  if (status != std::errc() || stop != end)
    return std::nullopt;
  return Incarnation(value);
}

std::string Incarnation::ToString() const {
  char digits[kHexDigits];
  auto [stop, status] =
      std::to_chars(digits, digits + kHexDigits, value_, kHexBase);
  std::string text(digits, stop);
  return std::string(kHexDigits - text.size(), '0') + text;
}

}  // namespace teaselthread
