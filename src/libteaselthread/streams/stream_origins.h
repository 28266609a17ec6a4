#ifndef TEASELTHREAD_STREAMS_STREAM_ORIGINS_H_
#define TEASELTHREAD_STREAMS_STREAM_ORIGINS_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Identifies a stream by the caller's request that got its first event. A
// request of another customer or for another service has another key, whatever
// id it names.
struct StreamKey {
  uint64_t hash = 0;

  static StreamKey Of(std::string_view service,
                      std::string_view customer,
                      std::string_view request_id);

  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
};

// Which version of a service's endpoints began a stream.
struct StreamOrigin {
  StreamKey key;
  uint32_t service = 0;  // ShortHash of its name
  std::string version;
  Duration age{};  // since its first event

  friend auto operator<=>(const StreamOrigin&, const StreamOrigin&) = default;
};

// How the version that began a stream is known.
enum class OriginSource : uint8_t {
  // This node, or one that has told it, has relayed the beginning.
  kMemory,
  // No other version has served since the stream can have begun.
  kSingleVersion,
  // It was read from the store.
  kRecord,
  // Not known: one version has served as far as this node knows, but the store
  // does not confirm that.
  kUnconfirmed,
  kUnknown,
};
inline constexpr size_t kOriginSourceCount = 5;
std::string_view ToString(OriginSource source);

// The versions that began the streams of which this node has relayed the first
// event, or has learned from other nodes. Only that version can continue them.
//
// Load pattern: endpoints of two versions serve side by side while gateways and
// endpoints crash, and callers resume their streams at other gateways.
class StreamOrigins {
 public:
  // The oldest entries make room for new ones.
  static constexpr size_t kMaxStreams = 100'000;

  // The stream began at `begun_at`. What is known of a stream stays.
  void Add(StreamKey key,
           uint32_t service,
           const std::string& version,
           Timestamp begun_at);
  // Another node has sent this. What is known of a stream stays.
  void OnReported(const StreamOrigin& origin, Timestamp now);
  // The same for what was read from the store.
  void OnRecorded(const StreamOrigin& origin, Timestamp now);
  // Empty if it is not known.
  std::optional<std::string> VersionOf(StreamKey key) const;
  // Forgets the streams that began before `time`.
  void ForgetBefore(Timestamp time);
  size_t size() const { return entries_.size(); }

  // The next batch to send of the service's streams that Add was called for: up
  // to `max`, the latest ones first. Those of the previous batch that were new
  // in it are sent once more, as far as there is room after the new ones.
  std::vector<StreamOrigin> TakeToSend(uint32_t service,
                                       size_t max,
                                       Timestamp now);
  // Those that began since `time` are to be sent again.
  void SendAgain(Timestamp time);

  // Number of streams that Add or OnReported has added so far.
  uint64_t learned() const { return learned_; }
  // Streams of the services that were added when learned() was above `after`,
  // the latest ones last, at most `max`. What was read from the store is there.
  std::vector<StreamOrigin> LearnedAfter(uint64_t after,
                                         const std::set<uint32_t>& services,
                                         size_t max,
                                         Timestamp now) const;
  bool HasLearnedAfter(uint64_t after,
                       const std::set<uint32_t>& services) const;

 private:
  struct Entry {
    uint32_t service = 0;
    std::string version;
    Timestamp begun_at{};
    uint64_t sequence = 0;  // learned() when it was added; 0 if from the store
    bool is_own = false;
  };
  using Entries = std::map<StreamKey, Entry>;
  // Streams of a service that are to be sent. Those that were forgotten are
  // left out when they are taken.
  struct ToSend {
    std::deque<StreamKey> fresh;
    std::vector<StreamKey> repeated;
  };

  // Returns whether the stream was not known.
  bool Insert(StreamKey key, Entry entry);
  void Erase(Entries::iterator entry);
  static StreamOrigin MakeOrigin(Entries::const_iterator entry, Timestamp now);

  Entries entries_;
  std::multimap<Timestamp, StreamKey> by_age_;
  std::map<uint64_t, StreamKey> by_sequence_;  // those with a sequence above 0
  std::map<uint32_t, ToSend> to_send_;         // by service
  uint64_t learned_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_STREAM_ORIGINS_H_
