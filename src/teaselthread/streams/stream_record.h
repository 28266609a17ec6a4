#ifndef TEASELTHREAD_STREAMS_STREAM_RECORD_H_
#define TEASELTHREAD_STREAMS_STREAM_RECORD_H_

#include <boost/json/value.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/streams/stream_origins.h"

namespace teaselthread {

// When the versions of one service served last, as ages at the time of writing.
using ServedAges = std::map<std::string, Duration>;

// The content of an object in the store: streams that versions of endpoints
// began, and which versions have served lately. All ages are those at the time
// of writing.
struct StreamRecord {
  // Streams of one record: the encoded value stays below 1 MB.
  static constexpr size_t kMaxStreams = 40'000;

  uint64_t written_at_ms = 0;             // the writer's time of day, Unix
  std::map<uint32_t, ServedAges> served;  // by service
  std::vector<StreamOrigin> streams;

  friend auto operator<=>(const StreamRecord&, const StreamRecord&) = default;
};

boost::json::value EncodeStreamRecord(const StreamRecord& record);
// Empty if the content is not valid. Streams are ordered by service and
// version.
std::optional<StreamRecord> DecodeStreamRecord(
    const boost::json::value& content);

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_STREAM_RECORD_H_
