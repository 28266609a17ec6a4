#ifndef TEASELTHREAD_ENDPOINTS_CRASH_SUSPECTS_H_
#define TEASELTHREAD_ENDPOINTS_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What is known of one prompt part whose requests were at crashing engines.
// Crashes are identified by a hash of the engine's incarnation.
struct CrashEvidence {
  std::string part;
  std::set<uint32_t> crashes;
  // Those after which an engine has begun to answer a request with the part.
  std::set<uint32_t> cleared;

  size_t open_crashes() const;
  // Upper bound of its encoded size.
  size_t ByteSize() const;

  friend auto operator<=>(const CrashEvidence&, const CrashEvidence&) = default;
};

// Finds the prompt parts that crash each engine that begins to answer them. A
// crash ends all requests at an engine, so each of their parts is suspected. A
// part is cleared as soon as any engine begins to answer a request with it, and
// blocked after several crashes in a row. Crashes count as in a row only if the
// request was sent after the crash before, as engines that crash for another
// reason often do so at the same time. Parts that were at the same crashes are
// blocked only together, as only one of them may be to blame.
//
// Nodes exchange their evidence. It only grows, so that it can be merged in any
// order and more than once.
//
// Load pattern: requests of one kind crash one engine after the other, while
// sound requests share the customer and the other parts of the prompt.
class CrashSuspects {
 public:
  // The connection to an engine broke before it had sent an event of a request
  // with these parts. `crash` identifies the engine's incarnation.
  void OnCrash(const std::vector<std::string>& parts,
               uint32_t crash,
               Timestamp sent_at,
               Timestamp now);
  // An engine has sent the first event of a request with these parts. Returns
  // the parts that were cleared by it.
  std::vector<std::string> OnAnswerBegun(const std::vector<std::string>& parts,
                                         Timestamp now);
  // Adds evidence from another node. Returns whether any of it was new.
  bool Merge(const CrashEvidence& evidence, Timestamp now);

  // The first of the parts that is blocked, if any is.
  std::optional<std::string> FindBlocked(const std::vector<std::string>& parts,
                                         Timestamp now) const;
  // Whether a trial request with a blocked part is due. `is_responsible`: this
  // node is the one of the fleet that sends trials for the part.
  bool TakeTrial(const std::string& part, bool is_responsible, Timestamp now);

  // The evidence to send to other nodes, the most important first, as far as it
  // fits into `max_bytes` of a message.
  std::vector<CrashEvidence> ToShare(size_t max_bytes, Timestamp now) const;
  // Whether there is evidence that other nodes should receive at once. Resets
  // it.
  bool TakeUrgent();

  size_t open_crashes(const std::string& part) const;
  size_t blocked_count(Timestamp now) const;
  size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    CrashEvidence evidence;
    Timestamp first_crash_at{};  // of the open crashes
    Timestamp last_crash_at{};
    Timestamp changed_at{};
    Timestamp trial_at{};  // of the latest trial
  };
  using Suspects = std::map<std::string, Suspect>;  // by part

  bool IsBlocked(const Suspect& suspect, Timestamp now) const;
  // Whether a blocked part that is not among `parts` was at the same crashes.
  bool IsExplainedByAbsent(const Suspect& suspect,
                           const std::vector<std::string>& parts,
                           Timestamp now) const;
  // Null if the part cannot be recorded.
  Suspect* FindOrAdd(const std::string& part, Timestamp now);
  void AddCrashes(const std::set<uint32_t>& crashes,
                  Timestamp now,
                  Suspect* suspect);

  Suspects suspects_;
  bool is_urgent_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_CRASH_SUSPECTS_H_
