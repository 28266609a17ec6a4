#include "teaselthread/gateway/crash_guard.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// The parts of the prompt that other requests may have too. Empty if the
// request is not for a model engine.
std::vector<std::string> SharedParts(const ClassifiedRequest& request) {
  std::vector<std::string> parts;
  if (!request.service->engine)
    return parts;
  const std::vector<PromptPart>& prompt = request.head.prompt;
  for (size_t i = 0; i + 1 < prompt.size(); ++i)
    parts.push_back(prompt[i].id);
  return parts;
}

// Whether `self` is the one of the nodes that sends trial requests for a part.
bool IsResponsible(const std::string& part,
                   const std::string& self,
                   const std::vector<std::string>& nodes) {
  const RendezvousKey key(part);
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return node == self || key.WeightOf(node) < key.WeightOf(self);
  });
}

}  // namespace

bool CrashGuard::Blocks(const ClassifiedRequest& request) {
  CrashSuspects& suspects = state_->crash_suspects();
  const Timestamp now = state_->Now();
  const auto part = suspects.FindBlocked(SharedParts(request), now);
  if (!part)
    return false;
  const bool is_trial =
      suspects.TakeTrial(*part,
                         IsResponsible(*part, state_->settings().name(),
                                       state_->peers().NodesSharingLimits(now)),
                         now);
  LogLine line(is_trial ? "part-tried" : "part-refused");
  line.Add("id", request.head.id)
      .Add("part", *part)
      .Add("crashes", suspects.open_crashes(*part));
  state_->log().Info(line);
  return !is_trial;
}

void CrashGuard::OnAnswerBegun(const ClassifiedRequest& request) {
  const std::vector<std::string> cleared =
      state_->crash_suspects().OnAnswerBegun(SharedParts(request),
                                             state_->Now());
  if (cleared.empty())
    return;
  LogLine line("parts-cleared");
  line.Add("id", request.head.id)
      .Add("parts", boost::json::value_from(cleared));
  state_->log().Info(line);
}

void CrashGuard::OnCrash(const ClassifiedRequest& request,
                         const EndpointState& engine,
                         Timestamp sent_at) {
  const std::vector<std::string> parts = SharedParts(request);
  if (parts.empty())
    return;
  CrashSuspects& suspects = state_->crash_suspects();
  const EndpointRecord& record = engine.record();
  suspects.OnCrash(
      parts, ShortHash(record.id + "@" + std::to_string(record.started_at_ms)),
      sent_at, state_->Now());
  boost::json::object crashes;
  for (const std::string& part : parts)
    crashes[part] = suspects.open_crashes(part);
  LogLine line("parts-suspected");
  line.Add("id", request.head.id)
      .Add("endpoint", record.id)
      .Add("crashes_by_part", std::move(crashes));
  state_->log().Info(line);
}

}  // namespace teaselthread
