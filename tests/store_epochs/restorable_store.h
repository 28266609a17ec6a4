#ifndef TEASELTHREAD_TESTS_STORE_EPOCHS_RESTORABLE_STORE_H_
#define TEASELTHREAD_TESTS_STORE_EPOCHS_RESTORABLE_STORE_H_

#include <map>
#include <string>
#include <vector>

#include "gateway/gateway_harness.h"

namespace teaselthread::test {

// A store that can be restored from a copy of its former contents. Its
// revisions go back with them, and its epoch rises. It does not keep what is
// written to it by calls, but counts these calls.
class RestorableStore {
 public:
  explicit RestorableStore(asio::io_context* io);

  SocketAddress address() const { return server_.address(); }
  void Write(StoreKind kind, const std::string& name, const std::string& spec);
  void Remove(StoreKind kind, const std::string& name);
  // Discards the history: watches from earlier revisions get 410.
  void Forget();
  // Takes the copy that Restore returns to.
  void Copy() { copy_ = contents_; }
  // Also begins a new epoch.
  void Restore();
  // The marker of the current epoch: the store lacks nothing.
  void Mark();
  // While it is silent, calls are read and never answered.
  void set_silent(bool is_silent) { is_silent_ = is_silent; }

  uint64_t revision() const { return contents_.revision; }
  // GET calls for a kind.
  int reads(StoreKind kind) const;
  // POST and PUT calls for a kind.
  int writes(StoreKind kind) const;

 private:
  struct Change {
    uint64_t revision = 0;
    StoreKind kind{};
    std::string event;
  };
  struct Contents {
    uint64_t revision = 1;
    uint64_t forgotten_to = 0;  // the history begins after this revision
    std::map<StoreKind, std::map<std::string, std::string>> items;
    std::vector<Change> history;
  };

  ScriptedEndpoint::Reply Respond(const std::string& head) const;
  std::string Response(const std::string& status,
                       const std::string& body) const;
  std::string ListBody(StoreKind kind) const;
  std::string WatchBody(StoreKind kind, uint64_t from) const;
  int CountCalls(StoreKind kind, bool reads) const;

  platform::PlatformCodec codec_;
  uint64_t epoch_ = 1;
  bool is_silent_ = false;
  Contents contents_;
  Contents copy_;
  ScriptedEndpoint server_;
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_STORE_EPOCHS_RESTORABLE_STORE_H_
