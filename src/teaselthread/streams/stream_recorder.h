#ifndef TEASELTHREAD_STREAMS_STREAM_RECORDER_H_
#define TEASELTHREAD_STREAMS_STREAM_RECORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "libteaselthread/peers/leader_term.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/store/store_client.h"
#include "teaselthread/streams/stream_record.h"
#include "teaselthread/streams/stream_record_reader.h"
#include "teaselthread/streams/stream_services.h"

namespace teaselthread {

// Writes which versions began the streams of a zone to the platform's store
// while this gateway is the zone leader and endpoints of several versions serve
// or have served lately. It has several objects, its slots, that it uses in
// turn: the object of the current slot is written again and again with all that
// was learned in the slot's time.
class StreamRecorder {
 public:
  static constexpr int kSlots = 8;

  StreamRecorder(GatewayState* state, StreamRecordReader* reader);
  StreamRecorder(const StreamRecorder&) = delete;
  StreamRecorder& operator=(const StreamRecorder&) = delete;

  // Stops after a last write when this gateway leaves.
  void Start();

 private:
  // What a write contains apart from the time.
  struct Content {
    StreamRecord record;
    uint64_t learned = 0;  // StreamOrigins::learned() when it was made
    std::map<uint32_t, std::set<std::string>> versions;  // by service
  };

  asio::awaitable<void> Run();
  // Everything is written again in a newer epoch of the store.
  void FollowEpoch(StoreEpoch epoch, Timestamp now);
  // Continues with the slot that an earlier process of this gateway would have
  // used next. Returns false if the store cannot be read.
  asio::awaitable<bool> FindFirstSlot();
  // Whether a write is due for something that is not in the store yet.
  bool HasNews(const MixedServices& mixed, Timestamp now);
  void UpdateSlot(const MixedServices& mixed, Timestamp now);
  void BeginSlot(uint64_t after, Timestamp now);
  asio::awaitable<bool> Write(const MixedServices& mixed);
  Content MakeContent(const MixedServices& mixed, Timestamp now) const;
  asio::awaitable<int> Put(const Content& content, size_t* bytes);
  void LogWrite(size_t streams, size_t bytes, int status);

  GatewayState* state_;
  StreamRecordReader* reader_;
  StoreClient client_;
  LeaderTerm leader_term_;
  bool has_first_slot_ = false;
  bool is_recorder_ = false;  // this gateway was the zone leader last time
  int slot_ = 0;
  Timestamp slot_began_at_{};
  // The slot's object has what was learned after this; see LearnedAfter.
  uint64_t slot_after_ = 0;
  bool is_slot_written_ = false;
  StoreEpoch epoch_;      // that the written objects belong to
  uint64_t written_ = 0;  // learned() of the last successful write
  std::map<uint32_t, std::set<std::string>> written_versions_;
  std::optional<Timestamp> logged_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_STREAM_RECORDER_H_
