#include "libteaselthread/configuration_command.h"

#include <algorithm>

#include "libteaselthread/section_reader.h"

namespace teaselthread {
namespace {

constexpr std::string_view kFleet = "fleet";
constexpr std::string_view kZonesOut = "zones_out";
constexpr std::string_view kVmsOut = "vms_out";

const std::string* FindFleetEntry(const IniDocument& document,
                                  std::string_view key) {
  const IniSection* fleet = document.Find(kFleet, "");
  return fleet ? fleet->Find(key) : nullptr;
}

}  // namespace

ReplaceDocumentCommand::ReplaceDocumentCommand(IniDocument document)
    : document_(std::move(document)) {}

Result<IniDocument> ReplaceDocumentCommand::Apply(
    const IniDocument& current) const {
  IniDocument replacement = document_;
  for (std::string_view key : {kZonesOut, kVmsOut}) {
    const std::string* kept = FindFleetEntry(current, key);
    if (kept && !FindFleetEntry(replacement, key))
      replacement = replacement.WithEntry(kFleet, "", key, *kept);
  }
  return replacement;
}

FleetListCommand::FleetListCommand(Change change,
                                   std::string key,
                                   std::string item)
    : change_(change), key_(std::move(key)), item_(std::move(item)) {}

std::unique_ptr<FleetListCommand> FleetListCommand::ForZone(Change change,
                                                            std::string zone) {
  return std::unique_ptr<FleetListCommand>(
      new FleetListCommand(change, std::string(kZonesOut), std::move(zone)));
}

std::unique_ptr<FleetListCommand> FleetListCommand::ForVm(Change change,
                                                          std::string vm) {
  return std::unique_ptr<FleetListCommand>(
      new FleetListCommand(change, std::string(kVmsOut), std::move(vm)));
}

Result<IniDocument> FleetListCommand::Apply(const IniDocument& current) const {
  if (item_.empty() || item_.find_first_of(",\n[]=;# ") != std::string::npos) {
    return Error{ErrorCode::kBadValue,
                 "'" + item_ + "' is not a valid name of a zone or VM"};
  }
  const std::string* entry = FindFleetEntry(current, key_);
  std::vector<std::string> items =
      entry ? SplitList(*entry) : std::vector<std::string>();
  std::erase(items, item_);
  if (change_ == Change::kAdd)
    items.push_back(item_);
  return current.WithEntry(kFleet, "", key_, JoinList(items));
}

}  // namespace teaselthread
