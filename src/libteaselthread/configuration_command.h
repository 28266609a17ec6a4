#ifndef TEASELTHREAD_CONFIGURATION_COMMAND_H_
#define TEASELTHREAD_CONFIGURATION_COMMAND_H_

#include <memory>
#include <string>

#include "libteaselthread/error.h"
#include "libteaselthread/ini_document.h"

namespace teaselthread {

// A change of the configuration document that an operator requests. It can be
// applied again to a newer document after a write conflict.
class ConfigurationCommand {
 public:
  virtual ~ConfigurationCommand() = default;
  virtual Result<IniDocument> Apply(const IniDocument& document) const = 0;
};

// Replaces the whole document but keeps its lists of zones and VMs that are out
// of service, unless the new document has such a list itself.
class ReplaceDocumentCommand : public ConfigurationCommand {
 public:
  explicit ReplaceDocumentCommand(IniDocument document);
  Result<IniDocument> Apply(const IniDocument& current) const override;

 private:
  IniDocument document_;
};

// Adds a name to, or removes it from, a list in the [fleet] section.
class FleetListCommand : public ConfigurationCommand {
 public:
  enum class Change { kAdd, kRemove };

  static std::unique_ptr<FleetListCommand> ForZone(Change change,
                                                   std::string zone);
  static std::unique_ptr<FleetListCommand> ForVm(Change change, std::string vm);
  Result<IniDocument> Apply(const IniDocument& current) const override;

 private:
  FleetListCommand(Change change, std::string key, std::string item);

  Change change_;
  std::string key_;
  std::string item_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_COMMAND_H_
