#include "libteaselthread/requests/idempotency_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace teaselthread {
namespace {

// How far the wall clock of the ticket's issuer may be ahead of this node's.
constexpr WallSeconds kMaxClockSkew{300};

KeyDecision RefuseKey(RefusalReason reason) {
  return {KeyVerdict::kRefused, reason, std::nullopt, nullptr};
}

KeyDecision UnknownKey(UnknownReason reason) {
  return {KeyVerdict::kUnknown, std::nullopt, reason, nullptr};
}

}  // namespace

IdempotencyTable::IdempotencyTable(Incarnation self,
                                   IdempotencySettings settings)
    : self_(self), settings_(settings) {}

KeyDecision IdempotencyTable::Begin(const std::string& customer,
                                    const std::string& key,
                                    uint64_t fingerprint,
                                    WallSeconds wall,
                                    Timestamp now) {
  latest_wall_ = std::max(latest_wall_, wall);
  const std::optional<Ticket> ticket = Ticket::ParseKey(key);
  if (!ticket)
    return RefuseKey(RefusalReason::kTicketMalformed);
  if (auto rejection = Reject(*ticket, latest_wall_))
    return *rejection;
  DropExpiredRecords();
  DropOldResponses(now);
  const RecordId id = IdOf(customer, key);
  auto found = records_.find(id);
  if (found != records_.end())
    return Repeat(found->second, fingerprint);
  if (records_.size() >= settings_.max_keys)
    return RefuseKey(RefusalReason::kIdempotencyTableFull);
  Record record;
  record.fingerprint = fingerprint;
  records_.emplace(id, record);
  expiries_.push({ticket->issued_at() + settings_.ticket_lifetime, id});
  return {KeyVerdict::kRun, std::nullopt, std::nullopt, nullptr};
}

void IdempotencyTable::Complete(const std::string& customer,
                                const std::string& key,
                                StoredResponse answer,
                                Timestamp now) {
  const RecordId id = IdOf(customer, key);
  auto found = records_.find(id);
  if (found == records_.end())
    return;
  Record& record = found->second;
  record.state = State::kAnswered;
  stored_response_bytes_ += answer.body.size();
  record.answer = std::make_shared<const StoredResponse>(std::move(answer));
  stored_responses_.push_back({now + settings_.answer_ttl, id});
  DropOldResponses(now);
}

void IdempotencyTable::MarkUnknown(const std::string& customer,
                                   const std::string& key,
                                   UnknownReason reason) {
  auto found = records_.find(IdOf(customer, key));
  if (found == records_.end())
    return;
  found->second.state = State::kOutcomeUnknown;
  found->second.unknown_reason = reason;
}

void IdempotencyTable::Withdraw(const std::string& customer,
                                const std::string& key) {
  auto found = records_.find(IdOf(customer, key));
  if (found != records_.end() && found->second.state == State::kRunning)
    records_.erase(found);
}

uint64_t IdempotencyTable::Fingerprint(std::string_view method,
                                       std::string_view path,
                                       std::string_view body) {
  uint64_t hash = XXH3_64bits(method.data(), method.size());
  hash = XXH3_64bits_withSeed(path.data(), path.size(), hash);
  return XXH3_64bits_withSeed(body.data(), body.size(), hash);
}

IdempotencyTable::RecordId IdempotencyTable::IdOf(const std::string& customer,
                                                  const std::string& key) {
  const std::string text = customer + "\n" + key;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

KeyDecision IdempotencyTable::Repeat(const Record& record,
                                     uint64_t fingerprint) {
  if (record.fingerprint != fingerprint)
    return RefuseKey(RefusalReason::kKeyReused);
  if (record.state == State::kRunning)
    return {KeyVerdict::kJoin, std::nullopt, std::nullopt, nullptr};
  if (record.state == State::kOutcomeUnknown)
    return UnknownKey(record.unknown_reason);
  if (!record.answer)
    return UnknownKey(UnknownReason::kAnswerNotKept);
  return {KeyVerdict::kReplay, std::nullopt, std::nullopt, record.answer};
}

std::optional<KeyDecision> IdempotencyTable::Reject(const Ticket& ticket,
                                                    WallSeconds wall) const {
  if (ticket.home() != self_)
    return UnknownKey(UnknownReason::kHomeGone);
  if (wall >= ticket.issued_at() + settings_.ticket_lifetime)
    return UnknownKey(UnknownReason::kTicketExpired);
  if (ticket.issued_at() > wall + kMaxClockSkew)
    return RefuseKey(RefusalReason::kTicketMalformed);
  return std::nullopt;
}

void IdempotencyTable::DropExpiredRecords() {
  while (!expiries_.empty() && expiries_.top().at <= latest_wall_) {
    auto found = records_.find(expiries_.top().id);
    expiries_.pop();
    if (found == records_.end())
      continue;
    if (found->second.answer)
      stored_response_bytes_ -= found->second.answer->body.size();
    records_.erase(found);
  }
}

void IdempotencyTable::DropOldResponses(Timestamp now) {
  while (!stored_responses_.empty() &&
         (stored_responses_.front().until <= now ||
          stored_response_bytes_ > settings_.max_answer_bytes)) {
    auto found = records_.find(stored_responses_.front().id);
    stored_responses_.pop_front();
    if (found == records_.end() || !found->second.answer)
      continue;
    stored_response_bytes_ -= found->second.answer->body.size();
    found->second.answer.reset();
  }
}

}  // namespace teaselthread
