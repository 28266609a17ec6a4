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

// An inclusive range of integers.
struct IntegerRange {
  int64_t least;
  int64_t most;
};

// Reads the typed values of one section. Collects an error for each value that
// is missing, malformed or out of range, and returns the default instead.
class SectionReader {
 public:
  SectionReader(const IniSection& section,
                std::string source,
                std::vector<Error>* errors);

  std::string Text(std::string_view key, std::string_view fallback);
  std::string RequiredText(std::string_view key);
  // A value in the form IP:port.
  SocketAddress RequiredAddress(std::string_view key);
  int64_t Integer(std::string_view key, int64_t fallback, IntegerRange range);
  // A value in milliseconds; by convention the key ends in "_ms".
  Duration Milliseconds(std::string_view key,
                        int64_t fallback,
                        IntegerRange range);
  double Number(std::string_view key,
                double fallback,
                double least,
                double most);
  // A value that is "yes" or "no".
  bool Flag(std::string_view key, bool fallback);
  // A list of items separated by commas; spaces around items are removed.
  std::vector<std::string> List(std::string_view key);

  // Reports every key that was not read by one of the functions above.
  void RejectUnknownKeys();

 private:
  // Returns the value, or null, and marks the key as known.
  const std::string* LookUp(std::string_view key);
  void Report(ErrorCode code, std::string_view key, std::string expectation);

  const IniSection& section_;
  std::string source_;
  std::vector<Error>* errors_;
  std::set<std::string, std::less<>> known_keys_;
};

// Splits a list at commas. Removes spaces around items, and empty items.
std::vector<std::string> SplitList(std::string_view text);
std::string JoinList(const std::vector<std::string>& items);

}  // namespace teaselthread

#endif  // TEASELTHREAD_SECTION_READER_H_
