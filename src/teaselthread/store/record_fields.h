#ifndef TEASELTHREAD_STORE_RECORD_FIELDS_H_
#define TEASELTHREAD_STORE_RECORD_FIELDS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselthread {

// Fields of objects that nodes write to the store. Empty or null if they are
// missing or of another type.
std::optional<uint64_t> UnsignedField(const boost::json::object& object,
                                      std::string_view key);
std::optional<std::string_view> StringField(const boost::json::object& object,
                                            std::string_view key);
const boost::json::array* ArrayField(const boost::json::object& object,
                                     std::string_view key);

// Appends `number` as hexadecimal text with that many digits.
void AppendHex(uint64_t number, size_t digits, std::string* text);
// Empty if the text is not a hexadecimal number.
std::optional<uint64_t> ParseHex(std::string_view text);

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_RECORD_FIELDS_H_
