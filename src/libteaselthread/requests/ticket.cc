#include "libteaselthread/requests/ticket.h"

#include <charconv>

namespace teaselthread {
namespace {

constexpr std::string_view kScheme = "tt1-";
constexpr size_t kIncarnationDigits = 16;
constexpr int kHexBase = 16;

// Parses a hexadecimal number and the hyphen after it at the start of `rest`,
// and removes both from `rest`.
template <typename Number>
std::optional<Number> TakeNumber(std::string_view& rest) {
  const size_t hyphen = rest.find('-');
  if (hyphen == std::string_view::npos)
    return std::nullopt;
  Number number = 0;
  const char* end = rest.data() + hyphen;
  auto [stop, status] = std::from_chars(rest.data(), end, number, kHexBase);
  if (status != std::errc() || stop != end)
    return std::nullopt;
  rest.remove_prefix(hyphen + 1);
  return number;
}

std::string ToHex(uint64_t number) {
  char digits[sizeof(number) * 2];
  auto [stop, status] =
      std::to_chars(digits, digits + sizeof(digits), number, kHexBase);
  return std::string(digits, stop);
}

}  // namespace

bool Ticket::LooksLikeTicket(std::string_view key) {
  return key.substr(0, kScheme.size()) == kScheme;
}

std::optional<Ticket> Ticket::ParseKey(std::string_view key) {
  if (!LooksLikeTicket(key))
    return std::nullopt;
  std::string_view rest = key.substr(kScheme.size());
  auto home = Incarnation::Parse(rest.substr(0, kIncarnationDigits));
  if (!home || rest.substr(kIncarnationDigits, 1) != "-")
    return std::nullopt;
  rest.remove_prefix(kIncarnationDigits + 1);
  const auto seconds = TakeNumber<uint32_t>(rest);
  if (!seconds)
    return std::nullopt;
  const auto nonce = TakeNumber<uint64_t>(rest);
  if (!nonce || rest.empty())
    return std::nullopt;
  return Ticket(*home, WallSeconds(*seconds), *nonce);
}

std::string Ticket::ToString() const {
  return std::string(kScheme) + home_.ToString() + "-" +
         ToHex(static_cast<uint64_t>(issued_at_.count())) + "-" + ToHex(nonce_);
}

}  // namespace teaselthread
