#ifndef TEASELTHREAD_GATEWAY_CALLER_LINK_H_
#define TEASELTHREAD_GATEWAY_CALLER_LINK_H_

#include <string>

#include "teaselthread/asio.h"

namespace teaselthread {

// Status and header fields of an answer to a caller.
// Beast's fields may allocate when they are assigned.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct AnswerHead {
  int status = 0;
  http::fields fields;
};

// Writes one answer to a caller's connection, whole or event by event.
class CallerLink {
 public:
  struct Options {
    bool keep_alive = true;
    bool is_http11 = true;  // chunks may be sent
    bool is_head = false;   // the answer has no body
  };

  CallerLink(tcp::socket* socket, Options options)
      : socket_(socket), options_(options) {}

  // Whether any byte of an answer has been written.
  bool begun() const { return begun_; }
  // Whether the connection can take another request.
  bool is_usable() const { return usable_ && options_.keep_alive; }

  // Each returns false once the caller cannot be written to.
  asio::awaitable<bool> WriteWhole(AnswerHead head, std::string body);
  asio::awaitable<bool> BeginStream(AnswerHead head, std::string first_events);
  asio::awaitable<bool> WriteEvents(std::string events);
  asio::awaitable<bool> EndStream();
  // The answer ends here and must not pass as whole: the connection is to be
  // reset.
  void BreakOff();
  bool is_broken_off() const { return is_broken_off_; }

 private:
  asio::awaitable<bool> WriteText(std::string text);
  std::string Chunk(const std::string& bytes) const;

  tcp::socket* socket_;
  Options options_;
  bool begun_ = false;
  bool usable_ = true;
  bool is_broken_off_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_CALLER_LINK_H_
