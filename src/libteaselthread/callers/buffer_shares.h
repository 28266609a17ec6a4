#ifndef TEASELTHREAD_CALLERS_BUFFER_SHARES_H_
#define TEASELTHREAD_CALLERS_BUFFER_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/callers/recent_progress.h"

namespace teaselthread {

// Divides the memory for bodies and unsent responses among connections. Counts
// the bytes that have arrived, not those that are announced.
//
// A holder is slow if it has held something for a second and transferred less
// than kSlowBytes in one to two seconds. A stream whose caller reads all that
// is sent holds nothing in between, however little that is. When memory is
// short, slow holders lose what they hold to others, those with the least
// progress first, and among equals those whose caller holds the most. The slow
// holders of one caller do not grow beyond a quarter of the memory. An eighth
// of the memory is reserved for holders that are small and fast. Responses from
// endpoints are not held against a slow endpoint: they have to be small only.
//
// Load pattern: hundreds of connections send large bodies at the same time and
// most of them stop just short of the end, or read no responses, while ordinary
// callers send small bodies.
class BufferShares {
 public:
  using HolderId = uint64_t;

  static constexpr size_t kSmallBytes = size_t{64} * 1024;
  // The same for a body in chunks, whose size is not known before its end. It
  // is lower, since every large body begins as a small one.
  static constexpr size_t kSmallBytesInChunks = size_t{32} * 1024;
  static constexpr Duration kFastTime = std::chrono::seconds(2);
  // Above the default minimum rate of bodies, and far below what a sender on
  // any link of the deployments reaches that is not stalled.
  static constexpr size_t kSlowBytes = size_t{16} * 1024;

  struct GrowResult {
    bool granted = false;
    // Holders that lost everything they held. Their connections are to be
    // closed; their requests have not run, or their streams are incomplete.
    std::vector<HolderId> reclaimed;
  };

  explicit BufferShares(size_t limit_bytes) : limit_(limit_bytes) {}

  // `caller` names who sends or receives: customer or address. `is_reclaimable`
  // is false for what must be kept until its end, such as responses that are
  // being received from endpoints.
  HolderId Add(std::string caller, bool is_reclaimable, Timestamp now);
  // The caller is known more precisely now.
  void SetCaller(HolderId id, std::string caller);
  // How much the holder will need in total, as its sender announced. Nothing is
  // reserved for it.
  void SetExpected(HolderId id, size_t bytes);
  // Releases what the holder has.
  void Remove(HolderId id);
  // Asks for more bytes. If they are not granted, nothing has changed.
  GrowResult Grow(HolderId id, size_t bytes, Timestamp now);
  void Shrink(HolderId id, size_t bytes);
  // The connection has transferred bytes, whether or not they are held.
  void OnProgress(HolderId id, size_t bytes, Timestamp now);
  // From here on what the holder has cannot be reclaimed: its body is complete
  // and may be passed on.
  void Pin(HolderId id);

  // Whether `bytes` more would fit if all slow holders lost what they have.
  bool MayFit(size_t bytes, Timestamp now);

  size_t used() const { return used_; }
  size_t limit() const { return limit_; }
  size_t reserve() const { return limit_ / 8; }
  size_t HeldBy(HolderId id) const;

 private:
  struct Holder {
    std::string caller;
    bool is_reclaimable = false;
    Timestamp since;  // when it last began to hold something
    RecentProgress progress;
    size_t bytes = 0;
    std::optional<size_t> expected = std::nullopt;
  };

  static bool IsSlow(Holder& holder, Timestamp now);
  static bool IsSmallAndFast(const Holder& holder, size_t bytes, Timestamp now);
  // Up to which total use the holder may grow.
  size_t LimitFor(const Holder& holder, size_t bytes, Timestamp now) const;
  // Whether the slow holders of a caller would have more than their share.
  bool ExceedsSlowShare(const std::string& caller,
                        size_t more_bytes,
                        Timestamp now);
  // Chooses slow holders other than `except` that hold `needed` bytes together;
  // none if they do not hold as many.
  std::vector<HolderId> Choose(HolderId except, size_t needed, Timestamp now);

  size_t limit_;
  size_t used_ = 0;
  HolderId last_id_ = 0;
  std::map<HolderId, Holder> holders_;
  std::map<std::string, size_t> bytes_by_caller_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_BUFFER_SHARES_H_
