#include "crashes/crash_fleet.h"

#include <algorithm>
#include <cmath>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr size_t kEngines = 12;
// As in incident 0008.
constexpr Duration kRestartTime = milliseconds(3'300);
constexpr Duration kRegistrationDelay = milliseconds(500);
constexpr Duration kExchangeDelay = milliseconds(200);
constexpr Duration kHeartbeatInterval = milliseconds(500);
constexpr size_t kHeartbeatTargets = 6;
constexpr size_t kMaxShareBytes = 700;
constexpr size_t kDocuments = 40;
// After the engines' start times.
constexpr uint64_t kStartMs = 1'700'000'001'000;
constexpr Duration kContactTime = seconds(3);

// All gateways agree on the order of the gateways for a part.
size_t RankOf(const std::string& part, size_t gateway, size_t count) {
  const RendezvousKey key(part);
  const uint64_t weight = key.WeightOf(std::to_string(gateway));
  size_t rank = 0;
  for (size_t other = 0; other < count; ++other)
    rank += key.WeightOf(std::to_string(other)) > weight;
  return rank;
}

bool IsMultipleOf(Duration time, Duration interval) {
  return time.count() % interval.count() == 0;
}

}  // namespace

CrashFleet::CrashFleet(const CrashLoad& load)
    : load_(load),
      random_(load.seed),
      start_(At(Duration::zero())),
      now_(start_),
      gateways_(load.gateways) {
  std::vector<EndpointRecord> records;
  for (size_t i = 0; i < kEngines; ++i) {
    // Two digits, so that the order of the ids is that of the numbers.
    EndpointRecord record =
        MakeEngineRecord("engine-" + std::to_string(10 + i), "a");
    record.address.port = static_cast<uint16_t>(8'000 + i);
    engines_.push_back({record, true, {}, {}});
    records.push_back(record);
  }
  for (Gateway& gateway : gateways_)
    gateway.endpoints.ReplaceAll(records, now_);
}

CrashFigures CrashFleet::Run(Duration time) {
  const Timestamp end = start_ + time;
  while (now_ < end)
    Step();
  return figures_;
}

void CrashFleet::Step() {
  now_ += kStep;
  ChangeEngines();
  EndRequests();
  AddRequests();
  for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
    if (gateways_[gateway].queue.size() > 0)
      JudgeEvidence(gateway);
  }
  Exchange();
}

void CrashFleet::ChangeEngines() {
  for (Engine& engine : engines_) {
    if (!engine.is_running && now_ >= engine.restarts_at) {
      engine.is_running = true;
      engine.record.started_at_ms = UnixMs();
      engine.registered_at = now_ + kRegistrationDelay;
    }
    if (engine.registered_at == now_) {
      for (Gateway& gateway : gateways_)
        gateway.endpoints.Put(engine.record, now_);
    }
  }
  const Duration time = now_ - start_;
  if (load_.flap_interval > Duration::zero() &&
      IsMultipleOf(time, load_.flap_interval))
    StopEngine(next_flap_++ % kEngines);
  if (time == load_.cut_from) {
    const auto cut = std::stable_partition(
        requests_.begin(), requests_.end(), [this](const Request& request) {
          return !IsCutOff(request.gateway, request.engine);
        });
    std::vector<Request> broken(cut, requests_.end());
    requests_.erase(cut, requests_.end());
    for (Request& request : broken)
      OnBreak(std::move(request));
  }
}

void CrashFleet::AddRequests() {
  const double per_step =
      load_.requests_per_second * std::chrono::duration<double>(kStep).count();
  const int count = std::poisson_distribution<int>(per_step)(random_);
  for (int i = 0; i < count; ++i) {
    Request request;
    request.gateway = Draw(gateways_.size());
    request.is_tainted = DrawShare(load_.tainted_share);
    // The first documents are asked for often, the last ones hardly ever.
    const double place = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto document = static_cast<size_t>(kDocuments * std::pow(place, 4));
    request.parts = {"system", request.is_tainted
                                   ? "tainted"
                                   : "document-" + std::to_string(document)};
    figures_.sound_requests += request.is_tainted ? 0 : 1;
    Send(std::move(request));
  }
}

void CrashFleet::Send(Request request) {
  Gateway& gateway = gateways_[request.gateway];
  if (const auto part = gateway.suspects.FindBlocked(request.parts, now_)) {
    const size_t rank = RankOf(*part, request.gateway, gateways_.size());
    if (!gateway.suspects.TakeEarlyTrial(request.parts, rank, now_) &&
        !gateway.suspects.TakeTrial(*part, rank == 0, now_)) {
      figures_.sound_refused += request.is_tainted ? 0 : 1;
      return;
    }
  }
  for (size_t tries = 0; tries < 4; ++tries) {
    request.engine = Draw(kEngines);
    const Engine& engine = engines_[request.engine];
    request.endpoint = gateway.endpoints.Running("pool")[request.engine];
    if (IsCutOff(request.gateway, request.engine))
      continue;
    if (!engine.is_running) {
      request.endpoint->contact().refused_at = now_;
      continue;
    }
    request.sent_at = now_;
    request.first_event_at = now_ + milliseconds(50 + 10 * Draw(30));
    if (request.is_tainted && fifth_crash_at_ &&
        now_ > *fifth_crash_at_ + kContactTime)
      ++figures_.late_contacts;
    requests_.push_back(std::move(request));
    return;
  }
}

void CrashFleet::EndRequests() {
  const auto open = std::stable_partition(
      requests_.begin(), requests_.end(),
      [this](const Request& request) { return request.first_event_at > now_; });
  const std::vector<Request> ended(open, requests_.end());
  requests_.erase(open, requests_.end());
  for (const Request& request : ended) {
    Gateway& gateway = gateways_[request.gateway];
    // The engine may have been stopped in this step.
    const bool is_lost = !engines_[request.engine].is_running ||
                         (!request.is_tainted && DrawShare(load_.reset_share));
    if (is_lost) {
      OnBreak(request);
    } else if (request.is_tainted) {
      if (++figures_.crashes == 5)
        fifth_crash_at_ = now_;
      StopEngine(request.engine);
      OnBreak(request);
    } else {
      request.endpoint->contact().bytes_at = now_;
      gateway.queue.OnAnswerBegun(request.parts);
      gateway.suspects.OnAnswerBegun(request.parts, now_);
    }
  }
}

void CrashFleet::StopEngine(size_t stopped) {
  Engine& engine = engines_[stopped];
  if (!engine.is_running)
    return;
  engine.is_running = false;
  engine.restarts_at = now_ + kRestartTime;
  const auto broken = std::stable_partition(
      requests_.begin(), requests_.end(),
      [stopped](const Request& request) { return request.engine != stopped; });
  const std::vector<Request> ended(broken, requests_.end());
  requests_.erase(broken, requests_.end());
  for (const Request& request : ended)
    OnBreak(request);
}

void CrashFleet::OnBreak(Request request) {
  gateways_[request.gateway].queue.Add({"",
                                        request.parts,
                                        request.endpoint,
                                        request.sent_at,
                                        now_,
                                        UnixMs(),
                                        {}});
  if (request.is_retry)
    return;
  request.is_retry = true;
  Send(std::move(request));
}

void CrashFleet::JudgeEvidence(size_t index) {
  Gateway& gateway = gateways_[index];
  const std::vector<EndpointPtr> endpoints = gateway.endpoints.Running("pool");
  for (size_t i = 0; i < kEngines; ++i) {
    const bool is_running = engines_[i].is_running;
    if (gateway.queue.TakeProbe(*endpoints[i], now_) && !IsCutOff(index, i))
      endpoints[i]->contact().OnConnectEnded(is_running, !is_running, now_);
  }
  for (const JudgedCrash& judged :
       gateway.queue.Judge(gateway.endpoints, now_)) {
    ++figures_.verdicts[static_cast<size_t>(judged.verdict)];
    const PendingCrash& crash = judged.crash;
    const EndpointRecord& record = crash.engine->record();
    if (IsConfirmed(judged.verdict)) {
      gateway.suspects.OnCrash(
          crash.parts,
          ShortHash(record.id + std::to_string(record.started_at_ms)),
          crash.sent_at, crash.broke_at);
    }
  }
}

void CrashFleet::Exchange() {
  std::erase_if(messages_, [this](const Message& message) {
    if (message.arrives_at > now_)
      return false;
    for (const CrashEvidence& item : message.evidence)
      gateways_[message.to].suspects.Merge(item, now_);
    return true;
  });
  if (!IsMultipleOf(now_ - start_, milliseconds(100)))
    return;
  const bool is_heartbeat = IsMultipleOf(now_ - start_, kHeartbeatInterval);
  for (size_t from = 0; from < gateways_.size(); ++from) {
    CrashSuspects& suspects = gateways_[from].suspects;
    const bool is_urgent = suspects.TakeUrgent();
    if (!is_urgent && !is_heartbeat)
      continue;
    const auto evidence = suspects.ToShare(kMaxShareBytes, now_);
    if (evidence.empty())
      continue;
    const size_t count = is_urgent ? gateways_.size() : kHeartbeatTargets;
    for (size_t i = 0; i < count; ++i) {
      const size_t to = is_urgent ? i : Draw(gateways_.size());
      messages_.push_back({now_ + kExchangeDelay, to, evidence});
    }
  }
}

uint64_t CrashFleet::UnixMs() const {
  return kStartMs + static_cast<uint64_t>((now_ - start_) / milliseconds(1));
}

bool CrashFleet::IsCutOff(size_t gateway, size_t engine) const {
  const Duration time = now_ - start_;
  return time >= load_.cut_from && time < load_.cut_until && gateway % 3 == 0 &&
         engine % 3 != 0;
}

}  // namespace teaselthread::test
