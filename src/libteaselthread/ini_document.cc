#include "libteaselthread/ini_document.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <sstream>

namespace teaselthread {
namespace {

IniSection ReadSection(const std::string& title,
                       const boost::property_tree::ptree& tree) {
  IniSection section;
  const size_t space = title.find(' ');
  section.kind = title.substr(0, space);
  if (space != std::string::npos)
    section.name = title.substr(space + 1);
  for (const auto& [key, value] : tree)
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
  boost::property_tree::ptree tree;
  std::istringstream input{std::string(text)};
  try {
    boost::property_tree::ini_parser::read_ini(input, tree);
  } catch (const boost::property_tree::ini_parser_error& failure) {
    return Error{ErrorCode::kSyntax, source + ": line " +
                                         std::to_string(failure.line()) + ": " +
                                         failure.message()};
  }
  std::vector<IniSection> sections;
  for (const auto& [title, child] : tree) {
    if (child.empty() && !child.data().empty()) {
      return Error{ErrorCode::kSyntax,
                   source + ": key '" + title + "' stands outside a section"};
    }
    sections.push_back(ReadSection(title, child));
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
