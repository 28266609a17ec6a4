#include "libteaselthread/endpoints/prompt_part_demand.h"

#include <algorithm>
#include <cmath>

namespace teaselthread {
namespace {

// A part without running requests is evicted once its mean is below this.
constexpr double kNegligibleRequests = 0.02;
// Subtracted from a part's level, so that a single request does not make the
// part look hot.
constexpr double kSingleRequestLevel = 0.2;
constexpr Duration kEvictionInterval = std::chrono::seconds(1);

}  // namespace

double PromptPartDemand::Level::MeanAt(Timestamp now) const {
  const double kept =
      std::exp(-std::chrono::duration<double>(now - updated_at).count() /
               std::chrono::duration<double>(kTimeConstant).count());
  return mean * kept + running * (1 - kept);
}

void PromptPartDemand::Level::Change(int by, Timestamp now) {
  mean = MeanAt(now);
  running = static_cast<uint32_t>(static_cast<int>(running) + by);
  updated_at = now;
}

void PromptPartDemand::OnStart(const std::string& service,
                               const std::string& part,
                               Timestamp now) {
  EvictIdle(now);
  parts_[{service, part}].Change(1, now);
  services_[service].Change(1, now);
}

void PromptPartDemand::OnEnd(const std::string& service,
                             const std::string& part,
                             Timestamp now) {
  parts_[{service, part}].Change(-1, now);
  services_[service].Change(-1, now);
}

double PromptPartDemand::ShareOf(const std::string& service,
                                 const std::string& part,
                                 Timestamp now) const {
  const auto found = parts_.find({service, part});
  if (found == parts_.end())
    return 0;
  const double all = services_.at(service).MeanAt(now);
  const double level = found->second.MeanAt(now) - kSingleRequestLevel;
  return all > 0 ? std::max(0.0, level) / all : 0;
}

void PromptPartDemand::EvictIdle(Timestamp now) {
  if (now - evicted_at_ < kEvictionInterval)
    return;
  evicted_at_ = now;
  std::erase_if(parts_, [now](const auto& item) {
    const Level& level = item.second;
    return level.running == 0 && level.MeanAt(now) < kNegligibleRequests;
  });
}

}  // namespace teaselthread
