#ifndef TEASELTHREAD_ENDPOINTS_CRASH_SUSPECTS_H_
#define TEASELTHREAD_ENDPOINTS_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/crash_evidence.h"

namespace teaselthread {

// Finds the prompt parts that crash each engine that begins to answer them. A
// crash ends all requests at an engine, so each of their parts is suspected. A
// part is cleared as soon as any engine begins to answer a request with it, and
// blocked after several crashes in a row. Crashes count as in a row only if the
// request was sent after the crash before, as engines that crash for another
// reason often do so at the same time. Parts that were at the same crashes are
// blocked only together, as only one of them may be to blame. The number of
// crashes that blocks a part is higher while engines crash without it, too.
//
// Nodes exchange their evidence. It only grows, so that it can be merged in any
// order and more than once. The oldest cleared crashes are forgotten when there
// are too many; if another node brings one back, the next answer clears it
// again.
//
// Load pattern: requests of one kind crash one engine after the other, while
// sound requests share the customer and the other parts of the prompt.
class CrashSuspects {
 public:
  // An engine has crashed before it had sent an event of a request with these
  // parts, and so broke the connection at `broke_at`. `crash` identifies the
  // engine's incarnation.
  void OnCrash(const std::vector<std::string>& parts,
               uint32_t crash,
               Timestamp sent_at,
               Timestamp broke_at);
  // An engine has sent the first event of a request with these parts. Returns
  // the parts that were cleared by it.
  std::vector<std::string> OnAnswerBegun(const std::vector<std::string>& parts,
                                         Timestamp now);
  // Adds evidence from another node. Returns whether any of it was new.
  bool Merge(const CrashEvidence& evidence, Timestamp now);

  // The evidence that is to outlive all nodes: on parts that are blocked or
  // close to it, and on those of which this was once so, as long as anything is
  // known of them. `age` is that of the latest crash.
  std::vector<CrashEvidence> ToRecord(Timestamp now);
  // Adds evidence that ToRecord of any node returned `age` ago.
  void MergeRecorded(CrashEvidence evidence, Duration age, Timestamp now);
  // Evidence that has not changed for this long is forgotten.
  static constexpr Duration kRetention = std::chrono::hours(1);

  // The first of the parts that is blocked, if any is.
  std::optional<std::string> FindBlocked(const std::vector<std::string>& parts,
                                         Timestamp now) const;
  // Whether a trial request with a blocked part is due. `is_responsible`: this
  // node is the one of the fleet that sends trials for the part.
  bool TakeTrial(const std::string& part, bool is_responsible, Timestamp now);
  // Whether a request with these parts, some of them blocked, may be sent as
  // the trial that shows soon whether a part was blocked wrongly. `rank`: the
  // number of nodes that go first. A node that has no request with the part
  // passes the trial on by doing nothing.
  bool TakeEarlyTrial(const std::vector<std::string>& parts,
                      size_t rank,
                      Timestamp now);

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
    // When the request of the first open crash was sent; zero if that was at
    // another node.
    Timestamp first_sent_at{};
    Timestamp last_crash_at{};
    Timestamp changed_at{};
    Timestamp trial_at{};         // of the latest trial
    bool sent_trial = false;      // this node has sent the latest early trial
    size_t crashes_to_block = 0;  // as of the latest crash
    bool is_recorded = false;     // see ToRecord
  };
  using Suspects = std::map<std::string, Suspect>;  // by part

  bool IsBlocked(const Suspect& suspect, Timestamp now) const;
  // Whether it would be blocked if overlapping crashes counted.
  bool MayBeBlocked(const Suspect& suspect, Timestamp now) const;
  // Whether requests with `parts` are refused because of one of them.
  bool IsToBlame(const std::string& part,
                 const std::vector<std::string>& parts,
                 Timestamp now) const;
  bool IsEarlyTrialDue(const Suspect& suspect,
                       Duration delay,
                       Timestamp now) const;
  // Whether a suspected part that is not among `parts` was at the same crashes.
  bool IsExplainedByAbsent(const Suspect& suspect,
                           const std::vector<std::string>& parts,
                           Timestamp now) const;
  // Null if the part cannot be recorded.
  Suspect* FindOrAdd(const std::string& part, Timestamp now);
  void AddCrashes(const std::set<uint32_t>& crashes,
                  Timestamp crashed_at,
                  Suspect* suspect);
  // How many crashes in a row block the part.
  size_t CrashesToBlock(const CrashEvidence& evidence, Timestamp now) const;
  // The number of recent crashes at which the part was not, neither then nor
  // within a second.
  size_t CrashesWithout(const CrashEvidence& evidence, Timestamp now) const;
  // Notes when an incarnation has crashed.
  void NoteCrash(uint32_t crash, Timestamp crashed_at);
  // What other nodes need to know of it.
  CrashEvidence WithoutOld(CrashEvidence evidence, Timestamp now) const;
  // Makes room for one more crash by forgetting the oldest that is cleared.
  // Returns whether there is room.
  bool MakeRoom(CrashEvidence* evidence) const;
  bool IsExplainedBy(const CrashEvidence& part,
                     const CrashEvidence& other,
                     Timestamp now) const;

  Suspects suspects_;
  std::map<uint32_t, Timestamp> recent_crashes_;  // when they happened
  bool is_urgent_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_CRASH_SUSPECTS_H_
