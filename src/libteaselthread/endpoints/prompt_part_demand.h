#ifndef TEASELTHREAD_ENDPOINTS_PROMPT_PART_DEMAND_H_
#define TEASELTHREAD_ENDPOINTS_PROMPT_PART_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How this node's requests under way divide among prompt parts, smoothed over
// time. Callers choose their node at random, so that its shares stand for
// those of the fleet.
//
// Load pattern: a document that becomes hot on a fleet of so many nodes that
// none of them sees much of one endpoint.
class PromptPartDemand {
 public:
  void OnStart(const std::string& service,
               const std::string& part,
               Timestamp now);
  // Of a request that OnStart was called for.
  void OnEnd(const std::string& service,
             const std::string& part,
             Timestamp now);
  // The part's share of the service's requests under way, 0 to 1.
  double ShareOf(const std::string& service,
                 const std::string& part,
                 Timestamp now) const;
  size_t size() const { return parts_.size(); }

  // A hot part has to show before its first answers end, after about a second.
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

  void ForgetIdle(Timestamp now);

  std::map<Key, Level> parts_;
  std::map<std::string, Level> services_;
  Timestamp forgot_at_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_PROMPT_PART_DEMAND_H_
