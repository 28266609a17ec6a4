#ifndef TEASELTHREAD_TESTS_SUPPORT_FAKE_NET_H_
#define TEASELTHREAD_TESTS_SUPPORT_FAKE_NET_H_

#include <deque>
#include <functional>
#include <set>

#include "support/fake_fleet.h"

namespace teaselthread::test {

// Nodes that exchange heartbeats, loads and hand-overs in virtual time, except
// over cut links. Nodes are numbered from 1.
class FakeNet {
 public:
  static constexpr Duration kInterval = milliseconds(500);

  FakeNet(int size,
          const std::vector<std::string>& zones,
          const std::vector<Endpoint>& endpoints);

  FakeNode& operator[](int number) { return nodes_[number - 1]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  Timestamp now() const { return now_; }
  void Cut(int number) { cut_.insert(number); }
  void Heal(int number) { cut_.erase(number); }
  bool CanTalk(int a, int b) const {
    return a == b || (!cut_.contains(a) && !cut_.contains(b));
  }
  int NumberOf(const std::string& name) const;

  // Runs heartbeats; `between` is called after each interval, if given.
  void RunFor(Duration duration, const std::function<void()>& between = {});

 private:
  bool Exchange(int from, int to);
  void Tick(int number);
  void HandOver(int number);

  std::deque<FakeNode> nodes_;
  std::set<int> cut_;
  Timestamp now_ = At(seconds(0));
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_SUPPORT_FAKE_NET_H_
