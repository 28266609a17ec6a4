#include "record.h"

namespace review {

Record::Record(const std::string& path) : file_(path, std::ios::trunc) {}

void Record::Line(const std::string& text) {
  file_ << NowMs() << " " << text << "\n" << std::flush;
}

int64_t Record::NowMs() const {
  return std::chrono::duration_cast<milliseconds>(SteadyClock::now() -
                                                  started_at_)
      .count();
}

}  // namespace review
