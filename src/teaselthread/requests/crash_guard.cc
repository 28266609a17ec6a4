#include "teaselthread/requests/crash_guard.h"

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

// The number of nodes that come before `self` in sending trial requests for a
// part.
size_t TrialRank(const std::string& part,
                 const std::string& self,
                 const std::vector<std::string>& nodes) {
  const RendezvousKey key(part);
  return static_cast<size_t>(
      std::count_if(nodes.begin(), nodes.end(), [&](const std::string& node) {
        return node != self && key.WeightOf(node) >= key.WeightOf(self);
      }));
}

}  // namespace

CrashGuard::CrashGuard(GatewayState* state, EndpointConnections* connections)
    : state_(state),
      probe_(state, connections, &queue_, [this] { JudgeEvidence(); }) {}

bool CrashGuard::Blocks(const ClassifiedRequest& request) {
  CrashSuspects& suspects = state_->crash_suspects();
  const Timestamp now = state_->Now();
  const std::vector<std::string> parts = SharedParts(request);
  const auto part = suspects.FindBlocked(parts, now);
  if (!part)
    return false;
  const size_t rank = TrialRank(*part, state_->settings().name(),
                                state_->peers().NodesSharingLimits(now));
  const bool is_trial = suspects.TakeEarlyTrial(parts, rank, now) ||
                        suspects.TakeTrial(*part, rank == 0, now);
  LogLine line(is_trial ? "part-tried" : "part-refused");
  line.Add("id", request.head.id)
      .Add("part", *part)
      .Add("crashes", suspects.open_crashes(*part));
  state_->log().Info(line);
  return !is_trial;
}

bool CrashGuard::IsSuspect(const ClassifiedRequest& request) const {
  return state_->crash_suspects()
      .FindBlocked(SharedParts(request), state_->Now())
      .has_value();
}

void CrashGuard::OnAnswerBegun(const ClassifiedRequest& request) {
  const std::vector<std::string> parts = SharedParts(request);
  queue_.OnAnswerBegun(parts);
  const std::vector<std::string> cleared =
      state_->crash_suspects().OnAnswerBegun(parts, state_->Now());
  if (cleared.empty())
    return;
  LogLine line("parts-cleared");
  line.Add("id", request.head.id)
      .Add("parts", boost::json::value_from(cleared));
  state_->log().Info(line);
}

void CrashGuard::OnBreak(const ClassifiedRequest& request,
                         const EndpointPtr& engine,
                         Timestamp sent_at) {
  std::vector<std::string> parts = SharedParts(request);
  if (parts.empty())
    return;
  queue_.Add({request.head.id, std::move(parts), engine, sent_at, state_->Now(),
              GatewayState::UnixMilliseconds(), Timestamp{}});
  probe_.Start(engine);
}

void CrashGuard::JudgeEvidence() {
  for (const JudgedCrash& judged :
       queue_.Judge(state_->endpoints(), state_->Now())) {
    state_->metrics().OnCrashEvidence(judged.verdict);
    const PendingCrash& crash = judged.crash;
    LogLine line("crash-judged");
    line.Add("id", crash.request_id)
        .Add("endpoint", crash.engine->record().id)
        .Add("verdict", ToString(judged.verdict))
        .AddTime("age", state_->Now() - crash.broke_at);
    state_->log().Info(line);
    if (IsConfirmed(judged.verdict))
      OnCrash(crash);
  }
}

void CrashGuard::OnCrash(const PendingCrash& crash) {
  CrashSuspects& suspects = state_->crash_suspects();
  const EndpointRecord& record = crash.engine->record();
  suspects.OnCrash(
      crash.parts,
      ShortHash(record.id + "@" + std::to_string(record.started_at_ms)),
      crash.sent_at, crash.broke_at);
  boost::json::object crashes;
  for (const std::string& part : crash.parts)
    crashes[part] = suspects.open_crashes(part);
  LogLine line("parts-suspected");
  line.Add("id", crash.request_id)
      .Add("endpoint", record.id)
      .Add("crashes_by_part", std::move(crashes));
  state_->log().Info(line);
}

}  // namespace teaselthread
