#include "addresses.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr size_t kMaxDirectories = 3;
constexpr milliseconds kAnswerTime(1'000);
constexpr milliseconds kPause(200);

}  // namespace

ZoneAddresses::ZoneAddresses(asio::io_context* io,
                             Fleet* fleet,
                             std::string zone)
    : io_(io), fleet_(fleet), zone_(std::move(zone)) {}

void ZoneAddresses::Start() {
  asio::co_spawn(*io_, Run(), asio::detached);
}

uint16_t ZoneAddresses::Pick(const std::set<uint16_t>& failed,
                             std::mt19937* random) const {
  std::vector<uint16_t> ports = ports_;
  std::erase_if(ports, [&](uint16_t port) { return failed.contains(port); });
  if (ports.empty())
    ports = ports_;
  if (ports.empty())
    return 0;
  return ports[std::uniform_int_distribution<size_t>(
      0, ports.size() - 1)(*random)];
}

asio::awaitable<void> ZoneAddresses::Run() {
  for (;;) {
    std::vector<uint16_t> directories;
    for (const bool in_zone : {true, false}) {
      for (const GatewayNode& node : fleet_->nodes()) {
        if ((node.zone == zone_) == in_zone)
          directories.push_back(node.directory);
      }
    }
    directories.resize(std::min(directories.size(), kMaxDirectories));
    bool is_known = false;
    for (size_t i = 0; i < directories.size() && !is_known; ++i)
      is_known = co_await Ask(directories[i]);
    co_await Sleep(*io_, is_known ? lifetime_ : kPause);
  }
}

asio::awaitable<bool> ZoneAddresses::Ask(uint16_t directory) {
  tcp::socket socket(*io_);
  asio::steady_timer limit(*io_, kAnswerTime);
  limit.async_wait([&socket](const boost::system::error_code& failure) {
    boost::system::error_code ignored;
    if (!failure)
      socket.close(ignored);
  });
  auto [failure] = co_await socket.async_connect(Loopback(directory), kAsTuple);
  if (failure)
    co_return false;
  http::request<http::empty_body> request(
      http::verb::get,
      "/-/lookup?name=shop.example&region=sicilia&zone=" + zone_, 11);
  request.set(http::field::host, "edge");
  auto [write_failure, written] =
      co_await http::async_write(socket, request, kAsTuple);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  auto [read_failure, read] =
      co_await http::async_read(socket, buffer, response, kAsTuple);
  if (write_failure || read_failure || response.result() != http::status::ok)
    co_return false;
  const json::value answer = json::parse(response.body());
  std::vector<uint16_t> ports;
  for (const json::value& address : answer.at("addresses").as_array()) {
    const auto text = json::value_to<std::string>(address);
    uint16_t port = 0;
    std::from_chars(text.data() + text.find(':') + 1, text.data() + text.size(),
                    port);
    ports.push_back(port);
  }
  if (ports.empty())
    co_return false;
  ports_ = std::move(ports);
  lifetime_ = milliseconds(
      static_cast<int64_t>(answer.at("ttl_s").to_number<double>() * 1'000));
  co_return true;
}

}  // namespace review
