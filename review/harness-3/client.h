#ifndef REVIEW_HARNESS_3_CLIENT_H_
#define REVIEW_HARNESS_3_CLIENT_H_

#include <string>
#include <utility>
#include <vector>

#include "asio.h"
#include "record.h"

namespace review {

// One client attempt.
struct Attempt {
  std::string id;
  std::string path = "/chat/1";
  std::string host = "shop.example";
  std::string key = "key-1";
  std::string parts = {};
  int last_event = 0;
  std::string resumes = {};
  milliseconds time_left{12'000};
};

struct AttemptAnswer {
  int status = 0;  // 0: none
  bool is_complete = false;
  std::string retry_after = {};
  std::string body = {};
  // Ids and versions of the events that were received.
  std::vector<std::pair<int, std::string>> events = {};
};

// Sends one request on a new connection and reads the answer until it ends, the
// connection ends, or the time is over.
asio::awaitable<AttemptAnswer> Send(asio::io_context& io,
                                    Record& record,
                                    uint16_t front,
                                    Attempt attempt);

// The configuration with the streaming route /chat/ and the plain routes
// /order/ (not repeatable) and /list/ (idempotent).
std::string MakeConfiguration(double cold_start_s, double cold_per_s);

}  // namespace review

#endif  // REVIEW_HARNESS_3_CLIENT_H_
