#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr char kTemplate[] = "deploy/gateway.ini.template";
constexpr char kProgram[] = "target/src/teaselthread/teaselthread";
constexpr int kReadyChecks = 100;
constexpr auto kReadyInterval = milliseconds(200);

// A port that is free for TCP and UDP. It is outside the range from which the
// kernel takes the ports of outgoing connections, and cases that run at the
// same time begin at different ports.
uint16_t FreePort(asio::io_context* io) {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  constexpr int kStep = 131;
  static int next = getpid() * kStep % kCount;
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
    boost::system::error_code failure;
    tcp::acceptor stream(*io);
    asio::ip::udp::socket datagrams(*io, asio::ip::udp::v4());
    stream.open(tcp::v4());
    stream.bind(Loopback(port), failure);
    if (!failure)
      datagrams.bind({asio::ip::address_v4::loopback(), port}, failure);
    if (!failure)
      return port;
  }
}

std::string Address(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("cannot read " + path.string());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void ReplaceAll(const std::string& from,
                const std::string& to,
                std::string* text) {
  for (size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size()))
    text->replace(at, from.size(), to);
}

}  // namespace

Fleet::Fleet(asio::io_context* io, Record* record, Store* store)
    : io_(io), record_(record), store_(store) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("cannot create a temporary folder");
  folder_ = pattern;
}

Fleet::~Fleet() {
  for (size_t i = 0; i < nodes_.size(); ++i)
    Kill(i);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Fleet::Start(const std::vector<std::string>& zones) {
  std::map<std::string, int> counts;
  for (const std::string& zone : zones) {
    GatewayNode node;
    node.zone = zone;
    node.name = "edge-" + zone + "-" + std::to_string(++counts[zone]);
    for (uint16_t* port : {&node.front, &node.readiness, &node.directory,
                           &node.metrics, &node.peer})
      *port = FreePort(io_);
    node.store = store_->AddPort();
    nodes_.push_back(node);
  }
  for (size_t i = 0; i < nodes_.size(); ++i)
    Launch(i);
}

std::string Fleet::FillIn(std::string text, const GatewayNode& node) const {
  std::string seeds;
  for (size_t i = 0; i < nodes_.size() && i < 3; ++i)
    seeds += (i > 0 ? "," : "") + Address(nodes_[i].peer);
  // The bounds are those of the small deployments.
  const std::map<std::string, std::string> values = {
      {"node_name", node.name},
      {"zone", node.zone},
      {"bind.front_http", Address(node.front)},
      {"bind.readiness", Address(node.readiness)},
      {"bind.directory", Address(node.directory)},
      {"ip", "127.0.0.1"},
      {"port_range.0", std::to_string(node.metrics)},
      {"bind.control", Address(node.peer)},
      {"platform.address", Address(node.store)},
      {"limits.memory_mb", "260"},
      {"seeds", seeds},
      {"bounds.revoke_ms", "5000"},
      {"bounds.apply_ms", "2000"},
      {"bounds.drain_ms", "2000"},
      {"bounds.contact_ms", "3000"},
      {"bounds.budget_ratio", "0.2"},
      {"bounds.budget_slack", "54"},
      {"bounds.budget_window_s", "10"},
      {"bounds.cold_over", "1.5"},
      {"bounds.cold_slack", "5"},
      {"bounds.cap_x", "2"},
      {"bounds.grace_s", "8"}};
  // The section of a bound that these deployments do not have.
  const size_t section = text.find("{{#bounds.expose_share}}");
  const size_t section_end = text.find("{{/bounds.expose_share}}");
  if (section != std::string::npos && section_end != std::string::npos)
    text.resize(section);
  for (const auto& [name, value] : values)
    ReplaceAll("{{" + name + "}}", value, &text);
  if (text.find("{{") != std::string::npos)
    throw std::runtime_error("the template has unknown placeholders");
  return text;
}

void Fleet::Launch(size_t index) {
  GatewayNode& node = nodes_[index];
  const std::filesystem::path settings = folder_ / (node.name + ".ini");
  std::ofstream(settings) << FillIn(ReadFile(kTemplate), node);
  const std::string log = (folder_ / (node.name + ".log")).string();
  const std::string file = settings.string();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    for (int descriptor = 3; descriptor < 1024; ++descriptor)
      close(descriptor);
    execl(kProgram, kProgram, "gateway", "--config", file.c_str(), nullptr);
    _exit(127);
  }
  node.pid = pid;
  record_->Line("gateway " + node.name + ": started, front " +
                Address(node.front));
}

void Fleet::Signal(size_t index, int signal) {
  const GatewayNode& node = nodes_[index];
  if (node.pid <= 0)
    return;
  kill(node.pid, signal);
  record_->Line("gateway " + node.name + ": signal " + std::to_string(signal));
}

void Fleet::Kill(size_t index) {
  GatewayNode& node = nodes_[index];
  if (node.pid <= 0)
    return;
  Signal(index, SIGKILL);
  waitpid(node.pid, nullptr, 0);
  node.pid = 0;
}

asio::awaitable<bool> Fleet::AwaitReady() {
  for (int check = 0; check < kReadyChecks; ++check) {
    bool all_ready = true;
    for (size_t i = 0; i < nodes_.size() && all_ready; ++i)
      all_ready = co_await IsReady(nodes_[i].readiness);
    if (all_ready)
      co_return true;
    co_await Sleep(*io_, kReadyInterval);
  }
  co_return false;
}

asio::awaitable<bool> Fleet::IsReady(uint16_t port) {
  tcp::socket socket(*io_);
  auto [failure] = co_await socket.async_connect(Loopback(port), kAsTuple);
  if (failure)
    co_return false;
  http::request<http::empty_body> request(http::verb::get, "/-/ready", 11);
  request.set(http::field::host, "edge");
  auto [write_failure, written] =
      co_await http::async_write(socket, request, kAsTuple);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  auto [read_failure, read] =
      co_await http::async_read(socket, buffer, response, kAsTuple);
  co_return !write_failure && !read_failure &&
      response.result() == http::status::ok;
}

void Fleet::CopyLogLines(const std::vector<std::string>& words) {
  for (const GatewayNode& node : nodes_) {
    std::ifstream log(folder_ / (node.name + ".log"));
    for (std::string line; std::getline(log, line);) {
      for (const std::string& word : words) {
        if (line.find(word) != std::string::npos) {
          record_->Line("log of " + node.name + ": " + line);
          break;
        }
      }
    }
  }
}

}  // namespace review
