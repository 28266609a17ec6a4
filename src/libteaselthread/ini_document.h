#ifndef TEASELTHREAD_INI_DOCUMENT_H_
#define TEASELTHREAD_INI_DOCUMENT_H_

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/error.h"

namespace teaselthread {

struct IniEntry {
  std::string key;
  std::string value;

  friend auto operator<=>(const IniEntry&, const IniEntry&) = default;
};

// A section "[kind name]" or "[kind]"; `name` is empty for the latter.
struct IniSection {
  std::string kind;
  std::string name;
  std::vector<IniEntry> entries;

  std::string Title() const;
  const std::string* Find(std::string_view key) const;

  friend auto operator<=>(const IniSection&, const IniSection&) = default;
};

// The sections of an INI text in document order, without interpretation.
class IniDocument {
 public:
  // `source` is the file name or object name for error messages.
  static Result<IniDocument> Parse(std::string_view text, std::string source);

  const std::string& source() const { return source_; }
  const std::vector<IniSection>& sections() const { return sections_; }
  const IniSection* Find(std::string_view kind, std::string_view name) const;

  // Returns a copy in which one entry has a new value. Adds the section and the
  // entry if they do not exist.
  IniDocument WithEntry(std::string_view kind,
                        std::string_view name,
                        std::string_view key,
                        std::string_view value) const;

  // Formats the document as INI text. Parsing it yields an equal document.
  std::string ToText() const;

  friend bool operator==(const IniDocument&, const IniDocument&) = default;

 private:
  IniDocument(std::string source, std::vector<IniSection> sections)
      : source_(std::move(source)), sections_(std::move(sections)) {}

  std::string source_;
  std::vector<IniSection> sections_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_INI_DOCUMENT_H_
