#ifndef TEASELTHREAD_STREAMS_STREAM_RECORD_READER_H_
#define TEASELTHREAD_STREAMS_STREAM_RECORD_READER_H_

#include <optional>
#include <string>
#include <vector>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/store/store_client.h"

namespace teaselthread {

// Reads which versions began the streams that the gateways of all zones have
// recorded in the platform's store. On the zone leader, a read also removes
// objects that are no longer needed.
class StreamRecordReader {
 public:
  explicit StreamRecordReader(GatewayState* state);
  StreamRecordReader(const StreamRecordReader&) = delete;
  StreamRecordReader& operator=(const StreamRecordReader&) = delete;

  // Reads all records, unless the last read began at most `max_age` ago.
  // Callers that come during a read share it, so what they get can be as of its
  // beginning; see VersionHistory::records_read_at. Returns false if the store
  // could not be read.
  asio::awaitable<bool> Read(Duration max_age);

  // When the objects of this gateway were written (Unix milliseconds), by slot,
  // as of the last read.
  const std::map<int, uint64_t>& own_slots() const { return own_slots_; }

 private:
  // What one read has found.
  struct Summary {
    size_t objects = 0;
    size_t streams = 0;
    int status = 0;  // of the last call; 0 if there was no response
  };

  asio::awaitable<bool> ReadAll();
  asio::awaitable<bool> ReadPages(Summary* summary);
  void OnObject(const StoreObject& object, Summary* summary);
  bool IsOwn(const std::string& name) const;
  asio::awaitable<void> Remove(std::vector<std::string> targets);

  GatewayState* state_;
  StoreClient client_;
  StoreClient removal_client_;
  asio::steady_timer read_ended_;     // cancelled at the end of a read
  std::optional<Timestamp> read_at_;  // when the last successful read began
  std::optional<Timestamp> failed_at_;
  bool is_reading_ = false;
  bool last_succeeded_ = false;
  std::map<int, uint64_t> own_slots_;
  std::vector<std::string> outdated_;  // targets of calls that remove objects
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_STREAM_RECORD_READER_H_
