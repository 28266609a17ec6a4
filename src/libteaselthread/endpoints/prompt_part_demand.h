#ifndef TEASELTHREAD_ENDPOINTS_PROMPT_PART_DEMAND_H_
#define TEASELTHREAD_ENDPOINTS_PROMPT_PART_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Distribution of this node's requests in progress over prompt parts, smoothed
// over time. Callers choose their node at random, so a node's shares are an
// estimate of the fleet's.
//
// Load pattern: a document that becomes hot in a fleet of so many nodes that
// each of them sends only few requests to any one endpoint.
class PromptPartDemand {
 public:
  void OnStart(const std::string& service,
               const std::string& part,
               Timestamp now);
  // Must follow an OnStart() call with the same service and part.
  void OnEnd(const std::string& service,
             const std::string& part,
             Timestamp now);
  // The part's share of the service's requests in progress, from 0 to 1.
  double ShareOf(const std::string& service,
                 const std::string& part,
                 Timestamp now) const;
  size_t size() const { return parts_.size(); }

  // A hot part must be detected before its first responses end, which takes
  // about a second.
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);

 private:
  // Exponentially weighted mean of a number of requests.
  struct Level {
    uint32_t running = 0;
    double mean = 0;
    Timestamp updated_at{};

    double MeanAt(Timestamp now) const;
    void Change(int by, Timestamp now);
  };
  using Key = std::pair<std::string, std::string>;  // service and part

  void EvictIdle(Timestamp now);

  std::map<Key, Level> parts_;
  std::map<std::string, Level> services_;
  Timestamp evicted_at_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_PROMPT_PART_DEMAND_H_
