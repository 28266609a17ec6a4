#ifndef REVIEW_HARNESS_3_RECORD_H_
#define REVIEW_HARNESS_3_RECORD_H_

#include <fstream>
#include <string>

#include "asio.h"

namespace review {

// The file that tells what was sent, answered and run, one line an event, with
// the time since the start in milliseconds.
class Record {
 public:
  explicit Record(const std::string& path);

  void Line(const std::string& text);
  int64_t NowMs() const;

 private:
  std::ofstream file_;
  SteadyClock::time_point started_at_ = SteadyClock::now();
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_RECORD_H_
