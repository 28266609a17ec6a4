#ifndef TEASELTHREAD_REQUEST_TIMELINE_H_
#define TEASELTHREAD_REQUEST_TIMELINE_H_

#include <istream>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

namespace teaselthread {

// Reconstructs from gateways' logs what happened to one request: the events of
// the request in order, with those of its endpoints and of the store.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id)
      : id_(std::move(request_id)) {}

  // Reads the log of the gateway `source`. Lines that cannot be parsed are
  // skipped and counted.
  void Read(std::istream& log, const std::string& source);

  // Returns one line per event: time, gateway, the decision and its inputs.
  // Empty if no line names the request.
  std::string Tell() const;
  size_t unreadable_lines() const { return unreadable_lines_; }

 private:
  struct Line {
    std::string time;  // sorts as text
    std::string source;
    boost::json::object fields;
  };

  bool IsRelevant(const Line& line,
                  const std::set<std::string>& endpoints) const;

  std::string id_;
  std::vector<Line> lines_;
  size_t unreadable_lines_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUEST_TIMELINE_H_
