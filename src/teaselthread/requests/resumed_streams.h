#ifndef TEASELTHREAD_REQUESTS_RESUMED_STREAMS_H_
#define TEASELTHREAD_REQUESTS_RESUMED_STREAMS_H_

#include <optional>
#include <string>

#include "teaselthread/requests/request_exchange.h"

namespace teaselthread {

// Finds the version that began a stream which a caller resumes with a new
// request, so that no other version continues it. If the version is in doubt,
// the request is refused.
//
// Load pattern: gateways are killed, one or all of them, while two versions
// serve, and their callers resume dozens of streams at other gateways at once.
class ResumedStreams {
 public:
  explicit ResumedStreams(GatewayState* state) : state_(state) {}

  // Limits the request to the version that began its stream, if it continues
  // one. Returns why it has to be refused, if so.
  asio::awaitable<std::optional<RefusalReason>> Resolve(
      RequestExchange& exchange);
  // The first event of a stream has been received.
  void OnFirstEvent(const RequestExchange& exchange);

 private:
  struct Origin {
    std::string version;
    OriginSource source = OriginSource::kUnknown;
  };

  // What this node knows now. Has its endpoints confirmed before it takes one
  // version for the only one.
  asio::awaitable<std::optional<Origin>> Find(const ClassifiedRequest& request);
  std::optional<std::string> VersionFromMemory(
      const ClassifiedRequest& request) const;
  // The only version that can have begun the stream, as far as this node knows,
  // if there is only one.
  std::optional<std::string> SingleVersion(
      const ClassifiedRequest& request) const;
  // Reads the records of the other nodes, again a little later if the stream is
  // not among them and may still be recorded.
  asio::awaitable<std::optional<Origin>> FindInRecords(
      RequestExchange& exchange);
  void Log(const RequestExchange& exchange, const Origin& origin);

  GatewayState* state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_RESUMED_STREAMS_H_
