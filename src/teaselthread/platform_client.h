#ifndef TEASELTHREAD_PLATFORM_CLIENT_H_
#define TEASELTHREAD_PLATFORM_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "teaselthread/http_client.h"

namespace teaselthread {

struct PlatformObject {
  std::string name;
  uint64_t version = 0;  // the store's revision at the object's last change
  std::string value;
};

struct PlatformList {
  uint64_t revision = 0;
  std::vector<PlatformObject> objects;
};

// The platform's object API.
//   GET    /objects/KIND              all objects of a kind
//   GET    /objects/KIND/NAME         one object
//   PUT    /objects/KIND/NAME?version=N   only if the version is N; 0 creates
//   DELETE /objects/KIND/NAME?version=N
//   GET    /watch/KIND?since=R&wait_ms=M  all objects as soon as one is newer
//                                         than R, or 204 after M milliseconds
// Errors: kUnavailable, kTimeout, kConnectionLost, kMalformed; kNotFound;
// kConflict. After kTimeout, kConnectionLost or kMalformed a write may have
// taken effect.
class PlatformClient {
 public:
  PlatformClient(SocketAddress address, Duration timeout)
      : address_(std::move(address)), timeout_(timeout) {}

  asio::awaitable<Result<PlatformObject>> Read(std::string kind,
                                               std::string name);
  asio::awaitable<Result<PlatformList>> List(std::string kind);
  // Waits for a change after revision `since`. If there was none, returns an
  // empty list with the same revision.
  asio::awaitable<Result<PlatformList>> Watch(std::string kind,
                                              uint64_t since,
                                              Duration wait);
  // Returns the new version.
  asio::awaitable<Result<uint64_t>> Write(std::string kind,
                                          std::string name,
                                          std::string value,
                                          uint64_t expected_version);
  asio::awaitable<Result<uint64_t>> Remove(std::string kind,
                                           std::string name,
                                           uint64_t expected_version);

 private:
  asio::awaitable<Result<uint64_t>> Change(http::verb method,
                                           std::string target,
                                           std::string body);

  SocketAddress address_;
  Duration timeout_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PLATFORM_CLIENT_H_
