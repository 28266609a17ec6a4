#include "libteaselthread/ini_document.h"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <set>
#include <sstream>

namespace teaselthread {
namespace {

using boost::property_tree::ptree;

// The titles of all sections in document order. Boost's INI parser drops
// sections without entries, but here such a section means "all defaults".
std::vector<std::string> ReadTitles(std::string_view text) {
  std::vector<std::string> titles;
  std::istringstream input{std::string(text)};
  std::string line;
  while (std::getline(input, line)) {
    boost::algorithm::trim(line);
    const size_t end = line.find(']');
    if (line.empty() || line.front() != '[' || end == std::string::npos)
      continue;
    std::string title = line.substr(1, end - 1);
    boost::algorithm::trim(title);
    titles.push_back(title);
  }
  return titles;
}

IniSection ReadSection(const std::string& title, const ptree& document) {
  IniSection section;
  const size_t space = title.find(' ');
  section.kind = title.substr(0, space);
  if (space != std::string::npos)
    section.name = title.substr(space + 1);
  const auto found = document.find(title);
  if (found == document.not_found())
    return section;
  for (const auto& [key, value] : found->second)
    section.entries.push_back({key, value.data()});
  return section;
}

}  // namespace

std::string IniSection::Title() const {
  return name.empty() ? kind : kind + " " + name;
}

const std::string* IniSection::Find(std::string_view key) const {
  auto found = std::find_if(entries.begin(), entries.end(),
                            [&](const IniEntry& e) { return e.key == key; });
  return found == entries.end() ? nullptr : &found->value;
}

Result<IniDocument> IniDocument::Parse(std::string_view text,
                                       std::string source) {
  ptree tree;
  std::istringstream input{std::string(text)};
  try {
    boost::property_tree::ini_parser::read_ini(input, tree);
  } catch (const boost::property_tree::ini_parser_error& failure) {
    return Error{ErrorCode::kSyntax, source + ": line " +
                                         std::to_string(failure.line()) + ": " +
                                         failure.message()};
  }
  for (const auto& [key, child] : tree) {
    if (child.empty()) {
      return Error{ErrorCode::kSyntax,
                   source + ": key '" + key + "' is outside of any section"};
    }
  }
  std::vector<IniSection> sections;
  std::set<std::string> seen;
  for (const std::string& title : ReadTitles(text)) {
    if (!seen.insert(title).second) {
      return Error{ErrorCode::kSyntax,
                   source + ": section [" + title + "] appears twice"};
    }
    sections.push_back(ReadSection(title, tree));
  }
  return IniDocument(std::move(source), std::move(sections));
}

const IniSection* IniDocument::Find(std::string_view kind,
                                    std::string_view name) const {
  auto found = std::find_if(
      sections_.begin(), sections_.end(), [&](const IniSection& section) {
        return section.kind == kind && section.name == name;
      });
  return found == sections_.end() ? nullptr : &*found;
}

IniDocument IniDocument::WithEntry(std::string_view kind,
                                   std::string_view name,
                                   std::string_view key,
                                   std::string_view value) const {
  IniDocument copy = *this;
  const IniSection* existing = copy.Find(kind, name);
  if (!existing) {
    copy.sections_.push_back({std::string(kind), std::string(name), {}});
    existing = &copy.sections_.back();
  }
  IniSection& section = copy.sections_[existing - copy.sections_.data()];
  for (IniEntry& entry : section.entries) {
    if (entry.key != key)
      continue;
    entry.value = value;
    return copy;
  }
  section.entries.push_back({std::string(key), std::string(value)});
  return copy;
}

std::string IniDocument::ToText() const {
  std::string text;
  for (const IniSection& section : sections_) {
    text += "[" + section.Title() + "]\n";
    for (const IniEntry& entry : section.entries)
      text += entry.key + " = " + entry.value + "\n";
    text += "\n";
  }
  return text;
}

}  // namespace teaselthread
