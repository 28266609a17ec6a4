#include "net.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <vector>

namespace review {
namespace {

constexpr size_t kReadBytes = size_t{16} * 1024;

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

bool Bind(int socket, uint16_t port) {
  const sockaddr_in address = Loopback(port);
  return ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
}

std::string Lowercase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Word(const std::string& line, int index) {
  size_t start = 0;
  for (; index > 0 && start != std::string::npos; --index) {
    start = line.find(' ', start);
    if (start != std::string::npos)
      ++start;
  }
  if (start == std::string::npos)
    return "";
  return line.substr(start, line.find(' ', start) - start);
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void SleepUntil(double time) {
  SleepFor(time - Now());
}

void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

uint16_t FreePort() {
  for (;;) {
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    const bool is_bound = Bind(tcp, 0);
    ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &length);
    const uint16_t port = ntohs(address.sin_port);
    const bool is_free = is_bound && Bind(udp, port);
    ::close(tcp);
    ::close(udp);
    if (is_free)
      return port;
  }
}

std::string LoopbackAddress(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string HttpMessage::Method() const {
  return Word(start_line, 0);
}

std::string HttpMessage::Target() const {
  return Word(start_line, 1);
}

int HttpMessage::Status() const {
  return std::atoi(Word(start_line, 1).c_str());
}

std::string HttpMessage::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

void Connection::SetReadTimeout(double seconds) {
  timeval time{};
  time.tv_sec = static_cast<time_t>(seconds);
  time.tv_usec = static_cast<suseconds_t>((seconds - time.tv_sec) * 1e6);
  ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Connection::Write(const std::string& bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::send(socket_, bytes.data() + written,
                                 bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    written += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Fill() {
  std::vector<char> bytes(kReadBytes);
  const ssize_t count = ::recv(socket_, bytes.data(), bytes.size(), 0);
  if (count <= 0)
    return false;
  buffer_.append(bytes.data(), static_cast<size_t>(count));
  return true;
}

std::optional<std::string> Connection::ReadLine() {
  size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill())
      return std::nullopt;
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

std::optional<std::string> Connection::ReadBytes(size_t count) {
  while (buffer_.size() < count) {
    if (!Fill())
      return std::nullopt;
  }
  std::string bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return bytes;
}

std::optional<HttpMessage> Connection::ReadHead() {
  HttpMessage message;
  std::optional<std::string> line = ReadLine();
  if (!line)
    return std::nullopt;
  message.start_line = *line;
  while ((line = ReadLine()) && !line->empty()) {
    const size_t colon = line->find(':');
    if (colon == std::string::npos)
      return std::nullopt;
    const size_t value = line->find_first_not_of(' ', colon + 1);
    message.fields[Lowercase(line->substr(0, colon))] =
        value == std::string::npos ? "" : line->substr(value);
  }
  if (!line)
    return std::nullopt;
  return message;
}

std::optional<HttpMessage> Connection::ReadMessage() {
  std::optional<HttpMessage> message = ReadHead();
  if (!message)
    return std::nullopt;
  const int length = std::atoi(message->Field("content-length").c_str());
  const auto body = ReadBytes(static_cast<size_t>(std::max(0, length)));
  if (!body)
    return std::nullopt;
  message->body = *body;
  return message;
}

bool Connection::PeerHasClosed() const {
  char byte = 0;
  const ssize_t count =
      ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Close() {
  if (socket_ >= 0)
    ::close(socket_);
  socket_ = -1;
}

void Connection::Reset() {
  const linger option{1, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  Close();
}

std::unique_ptr<Connection> Connect(uint16_t port, ConnectOptions options) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.receive_buffer > 0) {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
                 sizeof(options.receive_buffer));
  }
  if (options.segment_size > 0) {
    ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &options.segment_size,
                 sizeof(options.segment_size));
  }
  const int no_delay = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  const sockaddr_in address = Loopback(port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(socket);
    return nullptr;
  }
  return std::make_unique<Connection>(socket);
}

Server::Server(uint16_t port, Handler handler)
    : port_(port),
      handler_(std::move(handler)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int reuse = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  if (!Bind(listener_, port) || ::listen(listener_, SOMAXCONN) != 0)
    throw std::runtime_error("cannot listen on " + LoopbackAddress(port));
  thread_ = std::thread([this] { Accept(); });
}

void Server::Accept() {
  for (;;) {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0)
      return;
    const int no_delay = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    ++serving_;
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void Server::Serve(int socket) {
  {
    const std::lock_guard lock(mutex_);
    sockets_.insert(socket);
  }
  Connection connection(::fcntl(socket, F_DUPFD_CLOEXEC, 0));
  if (!stopping_)
    handler_(connection);
  connection.Close();
  {
    const std::lock_guard lock(mutex_);
    sockets_.erase(socket);
    ::close(socket);
  }
  --serving_;
}

void Server::Stop() {
  if (stopping_.exchange(true))
    return;
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
  while (serving_ > 0) {
    {
      const std::lock_guard lock(mutex_);
      for (const int socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
    }
    SleepFor(0.01);
  }
}

}  // namespace review
