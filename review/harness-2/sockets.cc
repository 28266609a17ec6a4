#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr int kBacklog = 1'024;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool Bind(int fd, int port) {
  const sockaddr_in address = LoopbackAddress(port);
  return bind(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0;
}

}  // namespace

Connection::~Connection() {
  close(fd_);
}

ConnectionPtr Connection::Open(int port) {
  return Open(port, Options());
}

ConnectionPtr Connection::Open(int port, const Options& options) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (fd < 0)
    return nullptr;
  auto connection = std::make_shared<Connection>(fd);
  if (options.receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
               sizeof(options.receive_buffer));
  }
  if (options.segment_bytes > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment_bytes,
               sizeof(options.segment_bytes));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  return connection;
}

bool Connection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t count = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

int64_t Connection::WriteSome(std::string_view bytes) const {
  const ssize_t count =
      send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return 0;
  return count;
}

bool Connection::DiscardInput() const {
  char bytes[4'096];
  bool any = false;
  while (recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
    any = true;
  return any;
}

ReadEnd Connection::ReadMore(size_t most) {
  std::vector<char> bytes(most);
  const ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
  if (count == 0)
    return ReadEnd::kClosed;
  if (count < 0) {
    return errno == EAGAIN || errno == EWOULDBLOCK ? ReadEnd::kTimeout
                                                   : ReadEnd::kReset;
  }
  buffer_.append(bytes.data(), static_cast<size_t>(count));
  return ReadEnd::kBytes;
}

std::string Connection::ReadThrough(std::string_view end, ReadEnd* ended) {
  for (;;) {
    const size_t found = buffer_.find(end);
    if (found != std::string::npos) {
      *ended = ReadEnd::kBytes;
      std::string taken = buffer_.substr(0, found + end.size());
      buffer_.erase(0, taken.size());
      return taken;
    }
    *ended = ReadMore();
    if (*ended != ReadEnd::kBytes)
      return {};
  }
}

std::string Connection::ReadExactly(size_t count, ReadEnd* ended) {
  *ended = ReadEnd::kBytes;
  while (buffer_.size() < count && *ended == ReadEnd::kBytes)
    *ended = ReadMore();
  std::string taken = buffer_.substr(0, std::min(count, buffer_.size()));
  buffer_.erase(0, taken.size());
  return taken;
}

std::string Connection::ReadToEnd(ReadEnd* ended) {
  do {
    *ended = ReadMore();
  } while (*ended == ReadEnd::kBytes);
  return std::move(buffer_);
}

void Connection::SetReadTimeout(std::chrono::milliseconds timeout) const {
  timeval value{};
  value.tv_sec = timeout.count() / 1'000;
  value.tv_usec = (timeout.count() % 1'000) * 1'000;
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

void Connection::Shutdown() const {
  shutdown(fd_, SHUT_RDWR);
}

void Connection::Reset() {
  const linger at_once{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(fd_);
  fd_ = -1;
}

Listener::Listener(std::function<void(ConnectionPtr)> serve, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!Bind(fd, port) || listen(fd, kBacklog) != 0)
    return;
  port_ = PortOf(fd);
  std::thread([fd, serve = std::move(serve)] {
    for (;;) {
      const int accepted = accept(fd, nullptr, nullptr);
      if (accepted < 0)
        continue;
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      std::thread(serve, std::make_shared<Connection>(accepted)).detach();
    }
  }).detach();
}

int FreePort() {
  for (;;) {
    const int stream = socket(AF_INET, SOCK_STREAM, 0);
    const int datagram = socket(AF_INET, SOCK_DGRAM, 0);
    const bool is_bound = Bind(stream, 0);
    const int port = PortOf(stream);
    const bool is_free = is_bound && Bind(datagram, port);
    close(stream);
    close(datagram);
    if (is_free)
      return port;
  }
}

}  // namespace review
