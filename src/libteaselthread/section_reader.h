#ifndef TEASELTHREAD_SECTION_READER_H_
#define TEASELTHREAD_SECTION_READER_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/error.h"
#include "libteaselthread/ini_document.h"
#include "libteaselthread/settings.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// An inclusive range of whole numbers.
struct IntegerRange {
  int64_t least;
  int64_t most;
};

// Reads the typed values of one section. Collects an error for each value
// that is missing, malformed or out of range, and goes on with the default.
class SectionReader {
 public:
  SectionReader(const IniSection& section,
                std::string source,
                std::vector<Error>* errors);

  std::string Text(std::string_view key, std::string_view fallback);
  std::string RequiredText(std::string_view key);
  // IP:port.
  SocketAddress RequiredAddress(std::string_view key);
  int64_t Integer(std::string_view key, int64_t fallback, IntegerRange range);
  // The key ends in "_ms"; the value is in milliseconds.
  Duration Milliseconds(std::string_view key,
                        int64_t fallback,
                        IntegerRange range);
  double Number(std::string_view key,
                double fallback,
                double least,
                double most);
  // "yes" or "no".
  bool Flag(std::string_view key, bool fallback);
  // Items separated by commas; spaces around them are dropped.
  std::vector<std::string> List(std::string_view key);

  // Reports every key that no call above has asked for.
  void RejectUnknownKeys();

 private:
  const std::string* Take(std::string_view key);
  void Report(ErrorCode code, std::string_view key, std::string expectation);

  const IniSection& section_;
  std::string source_;
  std::vector<Error>* errors_;
  std::set<std::string, std::less<>> known_keys_;
};

// Splits at commas and drops spaces around the items, and empty items.
std::vector<std::string> SplitList(std::string_view text);
std::string JoinList(const std::vector<std::string>& items);

}  // namespace teaselthread

#endif  // TEASELTHREAD_SECTION_READER_H_
