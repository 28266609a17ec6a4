#include "teaselthread/configuration_writer.h"

#include <algorithm>
#include <random>

#include "libteaselthread/configuration.h"
#include "libteaselthread/membership/incarnation.h"
#include "libteaselthread/section_reader.h"
#include "teaselthread/platform_controller.h"

namespace teaselthread {
namespace {

constexpr char kSource[] = "configuration";
constexpr char kFleet[] = "fleet";
constexpr char kChangeIds[] = "change_ids";
constexpr size_t kMaxChangeIds = 16;
constexpr int kMaxConflicts = 8;
constexpr int kMaxReadBacks = 10;
constexpr std::chrono::milliseconds kReadBackInterval{500};

std::string MakeChangeId() {
  std::random_device entropy;
  const uint64_t high = entropy();
  return Incarnation((high << 32) | entropy()).ToString();
}

std::vector<std::string> ChangeIdsOf(const IniDocument& document) {
  const IniSection* fleet = document.Find(kFleet, "");
  const std::string* ids = fleet ? fleet->Find(kChangeIds) : nullptr;
  return ids ? SplitList(*ids) : std::vector<std::string>();
}

IniDocument WithChangeId(const IniDocument& document,
                         const IniDocument& current,
                         const std::string& change_id) {
  std::vector<std::string> ids = ChangeIdsOf(current);
  ids.insert(ids.begin(), change_id);
  ids.resize(std::min(ids.size(), kMaxChangeIds));
  return document.WithEntry(kFleet, "", kChangeIds, JoinList(ids));
}

}  // namespace

asio::awaitable<Result<PlatformObject>> ConfigurationWriter::Apply(
    const ConfigurationCommand& command,
    bool retry_on_conflict) {
  for (int conflicts = 0; conflicts < kMaxConflicts; ++conflicts) {
    const Result<PlatformObject> current = co_await ReadCurrent();
    if (!current) {
      // Nothing has been written yet.
      co_return Error{ErrorCode::kUnavailable, current.last_reason().detail};
    }
    const Result<IniDocument> before =
        IniDocument::Parse(current->value, kSource);
    if (!before)
      co_return before.reasons();
    const Result<IniDocument> changed = command.Apply(*before);
    if (!changed)
      co_return changed.reasons();
    const std::string change_id = MakeChangeId();
    const std::string text =
        WithChangeId(*changed, *before, change_id).ToText();
    const Result<Configuration> checked =
        Configuration::Parse(text, kSource, current->version + 1);
    if (!checked)
      co_return checked.reasons();
    const Result<uint64_t> written = co_await client_.Write(
        kConfigurationKind, kConfigurationName, text, current->version);
    if (written)
      co_return PlatformObject{kConfigurationName, *written, text};
    const ErrorCode code = written.last_reason().code;
    const bool reply_is_lost = code == ErrorCode::kTimeout ||
                               code == ErrorCode::kConnectionLost ||
                               code == ErrorCode::kMalformed;
    if (reply_is_lost)
      co_return co_await ResolveLostReply(change_id, current->version);
    if (code != ErrorCode::kConflict)
      co_return written.last_reason();
    if (!retry_on_conflict) {
      const Result<PlatformObject> newer = co_await ReadCurrent();
      const std::string version =
          newer ? std::to_string(newer->version) : "unknown";
      co_return Error{ErrorCode::kConflict,
                      "version " + version +
                          " was accepted first; this "
                          "change was made for version " +
                          std::to_string(current->version)};
    }
  }
  co_return Error{ErrorCode::kConflict, "conflicted with other changes " +
                                            std::to_string(kMaxConflicts) +
                                            " times"};
}

asio::awaitable<Result<PlatformObject>> ConfigurationWriter::ReadCurrent() {
  Result<PlatformObject> current =
      co_await client_.Read(kConfigurationKind, kConfigurationName);
  if (!current && current.last_reason().code == ErrorCode::kNotFound)
    co_return PlatformObject{kConfigurationName, 0, ""};
  co_return current;
}

asio::awaitable<Result<PlatformObject>> ConfigurationWriter::ResolveLostReply(
    std::string change_id,
    uint64_t version_before) {
  asio::steady_timer pause(co_await asio::this_coro::executor);
  for (int attempt = 0; attempt < kMaxReadBacks; ++attempt) {
    const Result<PlatformObject> current = co_await ReadCurrent();
    if (current) {
      const Result<IniDocument> document =
          IniDocument::Parse(current->value, kSource);
      const std::vector<std::string> ids =
          document ? ChangeIdsOf(*document) : std::vector<std::string>();
      if (std::find(ids.begin(), ids.end(), change_id) != ids.end())
        co_return *current;
      if (current->version != version_before) {
        co_return Error{ErrorCode::kConflict,
                        "version " + std::to_string(current->version) +
                            " was accepted first"};
      }
    }
    pause.expires_after(kReadBackInterval);
    co_await pause.async_wait(kAsTuple);
  }
  co_return Error{ErrorCode::kTimeout,
                  "no reply to the write, and reading back did not show "
                  "whether it took effect; run 'ctl show' before retrying"};
}

}  // namespace teaselthread
