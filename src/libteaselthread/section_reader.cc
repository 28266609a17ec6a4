#include "libteaselthread/section_reader.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <cmath>
#include <sstream>

namespace teaselthread {
namespace {

template <typename Number>
bool ParseEntire(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  auto [stop, status] = std::from_chars(text.data(), end, *number);
  return status == std::errc() && stop == end;
}

}  // namespace

SectionReader::SectionReader(const IniSection& section,
                             std::string source,
                             std::vector<Error>* errors)
    : section_(section), source_(std::move(source)), errors_(errors) {}

std::string SectionReader::Text(std::string_view key,
                                std::string_view fallback) {
  const std::string* value = LookUp(key);
  return value ? *value : std::string(fallback);
}

std::string SectionReader::RequiredText(std::string_view key) {
  const std::string* value = LookUp(key);
  if (value && !value->empty())
    return *value;
  Report(ErrorCode::kMissingKey, key, "a value is required");
  return {};
}

SocketAddress SectionReader::RequiredAddress(std::string_view key) {
  const std::string text = RequiredText(key);
  if (text.empty())
    return {};
  const Result<SocketAddress> address = SocketAddress::Parse(text);
  if (address)
    return *address;
  Report(address.last_reason().code, key, address.last_reason().detail);
  return {};
}

int64_t SectionReader::Integer(std::string_view key,
                               int64_t fallback,
                               IntegerRange range) {
  const std::string* value = LookUp(key);
  if (!value)
    return fallback;
  int64_t number = 0;
  if (!ParseEntire(*value, &number)) {
    Report(ErrorCode::kBadValue, key,
           "expected an integer, found '" + *value + "'");
    return fallback;
  }
  if (number >= range.least && number <= range.most)
    return number;
  Report(ErrorCode::kOutOfRange, key,
         "expected " + std::to_string(range.least) + " to " +
             std::to_string(range.most) + ", found " + *value);
  return fallback;
}

Duration SectionReader::Milliseconds(std::string_view key,
                                     int64_t fallback,
                                     IntegerRange range) {
  return std::chrono::milliseconds(Integer(key, fallback, range));
}

double SectionReader::Number(std::string_view key,
                             double fallback,
                             double least,
                             double most) {
  const std::string* value = LookUp(key);
  if (!value)
    return fallback;
  double number = 0;
  if (!ParseEntire(*value, &number) || !std::isfinite(number)) {
    Report(ErrorCode::kBadValue, key,
           "expected a number, found '" + *value + "'");
    return fallback;
  }
  if (number >= least && number <= most)
    return number;
  std::ostringstream expectation;
  expectation << "expected " << least << " to " << most << ", found " << *value;
  Report(ErrorCode::kOutOfRange, key, expectation.str());
  return fallback;
}

bool SectionReader::Flag(std::string_view key, bool fallback) {
  const std::string* value = LookUp(key);
  if (!value)
    return fallback;
  if (*value == "yes" || *value == "no")
    return *value == "yes";
  Report(ErrorCode::kBadValue, key,
         "expected yes or no, found '" + *value + "'");
  return fallback;
}

std::vector<std::string> SectionReader::List(std::string_view key) {
  const std::string* value = LookUp(key);
  return value ? SplitList(*value) : std::vector<std::string>();
}

void SectionReader::RejectUnknownKeys() {
  for (const IniEntry& entry : section_.entries) {
    if (!known_keys_.contains(entry.key))
      Report(ErrorCode::kUnknownKey, entry.key, "unknown key in this section");
  }
}

const std::string* SectionReader::LookUp(std::string_view key) {
  known_keys_.emplace(key);
  return section_.Find(key);
}

void SectionReader::Report(ErrorCode code,
                           std::string_view key,
                           std::string expectation) {
  errors_->push_back({code, source_ + ": [" + section_.Title() + "] " +
                                std::string(key) + ": " +
                                std::move(expectation)});
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  std::istringstream input{std::string(text)};
  std::string item;
  while (std::getline(input, item, ',')) {
    boost::algorithm::trim(item);
    if (!item.empty())
      items.push_back(item);
  }
  return items;
}

std::string JoinList(const std::vector<std::string>& items) {
  return boost::algorithm::join(items, ", ");
}

}  // namespace teaselthread
