#ifndef TEASELTHREAD_STREAMS_STREAM_ORIGINS_H_
#define TEASELTHREAD_STREAMS_STREAM_ORIGINS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

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
  kMemory,  // this node or one that has told it has relayed the beginning
  kSingleVersion,  // no other version has served while the stream may have
                   // begun
  kRecord,         // from the store
  kUnknown,
};
inline constexpr size_t kOriginSourceCount = 4;
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
  // Empty if it is not known.
  std::optional<std::string> VersionOf(StreamKey key) const;
  // Forgets the streams that began before `time`.
  void ForgetBefore(Timestamp time);
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    uint32_t service = 0;
    std::string version;
    Timestamp begun_at{};
  };

  std::map<StreamKey, Entry> entries_;
  std::multimap<Timestamp, StreamKey> by_age_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_STREAM_ORIGINS_H_
