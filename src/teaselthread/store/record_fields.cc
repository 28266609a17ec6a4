#include "teaselthread/store/record_fields.h"

#include <boost/json.hpp>
#include <charconv>

namespace teaselthread {

void AppendHex(uint64_t number, size_t digits, std::string* text) {
  constexpr char kDigits[] = "0123456789abcdef";
  for (size_t i = digits; i > 0; --i)
    *text += kDigits[(number >> (4 * (i - 1))) & 0xf];
}

std::optional<uint64_t> ParseHex(std::string_view text) {
  uint64_t number = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (failure != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

std::optional<uint64_t> UnsignedField(const boost::json::object& object,
                                      std::string_view key) {
  const boost::json::value* value =
      object.if_contains({key.data(), key.size()});
  if (!value || !value->is_number())
    return std::nullopt;
  boost::system::error_code failure;
  const auto number = value->to_number<uint64_t>(failure);
  return failure ? std::nullopt : std::optional(number);
}

std::optional<std::string_view> StringField(const boost::json::object& object,
                                            std::string_view key) {
  const boost::json::value* value =
      object.if_contains({key.data(), key.size()});
  if (!value || !value->is_string())
    return std::nullopt;
  return std::string_view(value->get_string());
}

const boost::json::array* ArrayField(const boost::json::object& object,
                                     std::string_view key) {
  const boost::json::value* value =
      object.if_contains({key.data(), key.size()});
  return value ? value->if_array() : nullptr;
}

}  // namespace teaselthread
