#ifndef TEASELTHREAD_TESTS_SUPPORT_FAKE_NET_H_
#define TEASELTHREAD_TESTS_SUPPORT_FAKE_NET_H_

#include <deque>
#include <functional>
#include <set>

#include "support/fake_fleet.h"

namespace teaselthread::test {

// Simulates nodes that exchange heartbeats, loads and hand-overs in virtual
// time. An isolated node reaches no other node. Nodes are numbered from 1.
class FakeNet {
 public:
  static constexpr Duration kInterval = milliseconds(500);

  FakeNet(int size,
          const std::vector<std::string>& zones,
          const std::vector<Endpoint>& endpoints);

  FakeNode& operator[](int number) { return nodes_[number - 1]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  Timestamp now() const { return now_; }
  void Isolate(int number) { isolated_.insert(number); }
  void Restore(int number) { isolated_.erase(number); }
  bool CanReach(int a, int b) const {
    return a == b || (!isolated_.contains(a) && !isolated_.contains(b));
  }
  int NumberOf(const std::string& name) const;

  // Runs heartbeats and hand-overs; calls `on_interval` after each interval.
  void RunFor(Duration duration, const std::function<void()>& on_interval = {});

 private:
  bool Exchange(int from, int to);
  void Tick(int number);
  void HandOver(int number);

  std::deque<FakeNode> nodes_;
  std::set<int> isolated_;
  Timestamp now_ = At(seconds(0));
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_SUPPORT_FAKE_NET_H_
