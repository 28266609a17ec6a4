#ifndef TEASELTHREAD_REQUEST_TIMELINE_H_
#define TEASELTHREAD_REQUEST_TIMELINE_H_

#include <istream>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

namespace teaselthread {

// Tells from gateways' logs what became of one request: its own lines in
// order, and what happened to its endpoints and to the store around it.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id)
      : id_(std::move(request_id)) {}

  // Reads the log of the gateway `source`. Lines that are no log lines are
  // left out and counted.
  void Read(std::istream& log, const std::string& source);

  // One line per event: time, gateway, what was decided and on which inputs.
  // Empty if no line names the request.
  std::string Tell() const;
  size_t unreadable_lines() const { return unreadable_lines_; }

 private:
  struct Line {
    std::string time;  // sorts as text
    std::string source;
    boost::json::object fields;
  };

  bool IsAbout(const Line& line, const std::set<std::string>& endpoints) const;

  std::string id_;
  std::vector<Line> lines_;
  size_t unreadable_lines_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUEST_TIMELINE_H_
