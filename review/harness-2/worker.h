#ifndef REVIEW_HARNESS_2_WORKER_H_
#define REVIEW_HARNESS_2_WORKER_H_

#include <functional>
#include <mutex>
#include <set>
#include <string>

#include "deployment.h"

namespace review {

// A stand-in of a worker. It takes requests that name it, and turns others away
// with 421.
class Worker {
 public:
  // Writes the answer. Returns whether the connection stays open.
  using Answer = std::function<bool(Connection&, const Head&)>;

  // `port`: 0 for a free one.
  Worker(std::string id, Record* record, Answer answer, int port = 0);

  const std::string& id() const { return id_; }
  int port() const { return listener_.port(); }
  // Whether the request has reached this worker.
  bool HasGot(const std::string& request_id);

  // The fields that each of this worker's answers has.
  Fields AnswerFields(const Head& request) const;

 private:
  void Serve(Connection& connection);

  std::string id_;
  Record* record_;
  Answer answer_;
  std::mutex mutex_;
  std::set<std::string> requests_;
  Listener listener_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_2_WORKER_H_
