#include "worker.h"

#include <utility>

namespace review {

Worker::Worker(std::string id, Record* record, Answer answer, int port)
    : id_(std::move(id)),
      record_(record),
      answer_(std::move(answer)),
      listener_([this](const ConnectionPtr& connection) { Serve(*connection); },
                port) {}

bool Worker::HasGot(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  return requests_.contains(request_id);
}

Fields Worker::AnswerFields(const Head& request) const {
  return {{kRequestId, request.Find(kRequestId)}, {kSeal, "seal." + id_}};
}

void Worker::Serve(Connection& connection) {
  ReadEnd ended{};
  while (const auto request = ReadHead(connection, &ended)) {
    ReadRequestBody(connection, *request);
    const std::string request_id = request->Find(kRequestId);
    if (request->Find(kExpectInstance) != id_) {
      connection.Write(EncodeMessage(
          "HTTP/1.1 421 Misdirected",
          {{kRequestId, request_id}, {kNotExecuted, "1"}}, std::string()));
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      requests_.insert(request_id);
    }
    record_->Add("request " + request_id + " reaches worker " + id_);
    if (!answer_(connection, *request))
      return;
  }
}

}  // namespace review
