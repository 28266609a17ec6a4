#ifndef TEASELTHREAD_REVIEW_HARNESS_NET_H_
#define TEASELTHREAD_REVIEW_HARNESS_NET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

// Blocking HTTP/1.1 over loopback, for the stand-ins of the review's cases.
namespace review {

// Seconds since the program started.
double Now();
void SleepUntil(double time);
void SleepFor(double seconds);

// A TCP and UDP port of 127.0.0.1 that nothing is bound to.
uint16_t FreePort();
std::string LoopbackAddress(uint16_t port);

struct HttpMessage {
  std::string start_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;

  std::string Method() const;
  std::string Target() const;
  int Status() const;
  std::string Field(const std::string& name) const;
};

// A connected socket with a read buffer. Not thread-safe.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool is_open() const { return socket_ >= 0; }
  // Limits the wait of each read.
  void SetReadTimeout(double seconds);
  bool Write(const std::string& bytes);
  // All reads fail once the peer has closed the connection or the read timeout
  // has passed.
  std::optional<std::string> ReadLine();
  std::optional<std::string> ReadBytes(size_t count);
  std::optional<HttpMessage> ReadHead();
  // A message whose body has a length or none.
  std::optional<HttpMessage> ReadMessage();
  bool PeerHasClosed() const;
  void Close();
  // Closes with a reset.
  void Reset();

 private:
  bool Fill();

  int socket_;
  std::string buffer_;
};

struct ConnectOptions {
  int receive_buffer = 0;  // bytes; 0 for the system's default
  int segment_size = 0;
};

// Null if the connection is refused.
std::unique_ptr<Connection> Connect(uint16_t port, ConnectOptions options = {});

// Accepts connections and serves each one on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server(uint16_t port, Handler handler);
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t port() const { return port_; }
  // Closes all connections and waits for their threads.
  void Stop();

 private:
  void Accept();
  void Serve(int socket);

  uint16_t port_;
  Handler handler_;
  int listener_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::atomic<int> serving_ = 0;
  std::thread thread_;
};

}  // namespace review

#endif  // TEASELTHREAD_REVIEW_HARNESS_NET_H_
