#ifndef TEASELTHREAD_CALLERS_READ_PACING_H_
#define TEASELTHREAD_CALLERS_READ_PACING_H_

#include <cstddef>
#include <cstdint>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Bounds the work for each byte of a request. A connection that needs many
// reads for few bytes pauses before each further one, so that bytes collect
// meanwhile and other connections are served. One whose framing by far exceeds
// its body is to be closed.
//
// Load pattern: hundreds of connections send bodies in chunks of one byte, or
// with long chunk extensions, or a few bytes in each packet.
class ReadPacing {
 public:
  // Reads without a pause: a body of the usual size in packets of any size.
  static constexpr uint64_t kFreeReads = 64;
  static constexpr uint64_t kMinBytesPerRead = 256;
  static constexpr Duration kPause = std::chrono::milliseconds(10);
  // A chunk of one byte needs five bytes of framing.
  static constexpr uint64_t kMaxFramingPerByte = 16;
  static constexpr uint64_t kFreeFramingBytes = uint64_t{64} * 1024;

  // `bytes` have been read, including framing.
  void OnRead(size_t bytes) {
    ++reads_;
    bytes_ += bytes;
  }
  // How long to wait before the next read.
  Duration Pause() const {
    return reads_ > kFreeReads && bytes_ < reads_ * kMinBytesPerRead
               ? kPause
               : Duration::zero();
  }
  // Whether what has been read holds too little besides framing. `useful_bytes`
  // are those of the header and the body.
  bool HasExcessiveFraming(size_t useful_bytes) const {
    return bytes_ >
           useful_bytes + kFreeFramingBytes + kMaxFramingPerByte * useful_bytes;
  }

 private:
  uint64_t reads_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_READ_PACING_H_
