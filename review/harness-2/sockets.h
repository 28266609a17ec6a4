#ifndef REVIEW_HARNESS_2_SOCKETS_H_
#define REVIEW_HARNESS_2_SOCKETS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;

// How a read ended.
enum class ReadEnd : uint8_t { kBytes, kClosed, kReset, kTimeout };

// A TCP connection over IPv4, with blocking calls and a read buffer.
class Connection {
 public:
  // Options of a client's socket. Zero leaves the system's default.
  struct Options {
    int receive_buffer = 0;
    // The maximum segment size. Loopback has 64 KB, Ethernet 1,460 bytes; the
    // peer's send buffer grows with it.
    int segment_bytes = 0;
  };

  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Null if the connection cannot be established.
  static std::shared_ptr<Connection> Open(int port);
  static std::shared_ptr<Connection> Open(int port, const Options& options);

  // Returns false if not all bytes could be written.
  bool Write(std::string_view bytes) const;
  // Writes what fits without waiting. Returns the number of bytes, or -1 if the
  // connection has failed.
  int64_t WriteSome(std::string_view bytes) const;
  // Discards what has arrived, without waiting. Returns whether there was any.
  bool DiscardInput() const;
  // Reads at least one more byte into the buffer.
  ReadEnd ReadMore(size_t most = 64 * 1024);
  // Reads up to and including `end`. Empty if the connection ended before.
  std::string ReadThrough(std::string_view end, ReadEnd* ended);
  // Reads `count` bytes. Shorter if the connection ended before.
  std::string ReadExactly(size_t count, ReadEnd* ended);
  // Reads until the peer closes the connection.
  std::string ReadToEnd(ReadEnd* ended);

  // Limits each wait for bytes.
  void SetReadTimeout(std::chrono::milliseconds timeout) const;
  // Closes both directions. The descriptor stays valid.
  void Shutdown() const;
  // Closes the connection with a reset.
  void Reset();
  const std::string& buffer() const { return buffer_; }

 private:
  int fd_;
  std::string buffer_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

// Listens on a port of 127.0.0.1 (0: a free one) and calls `serve` in a thread
// of its own for each connection. It runs until the process ends.
class Listener {
 public:
  explicit Listener(std::function<void(ConnectionPtr)> serve, int port = 0);
  int port() const { return port_; }

 private:
  int port_ = 0;
};

// A port of 127.0.0.1 that is free for TCP and UDP.
int FreePort();

}  // namespace review

#endif  // REVIEW_HARNESS_2_SOCKETS_H_
