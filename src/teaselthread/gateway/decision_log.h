#ifndef TEASELTHREAD_GATEWAY_DECISION_LOG_H_
#define TEASELTHREAD_GATEWAY_DECISION_LOG_H_

#include <spdlog/async.h>

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// One structured log line: an event name and its fields in insertion order.
class LogLine {
 public:
  explicit LogLine(std::string_view event) { fields_["event"] = event; }

  template <typename Value>
  LogLine& Add(std::string_view name, Value&& value) {
    if constexpr (std::is_convertible_v<Value, std::string_view>)
      fields_[name] = std::string_view(value);
    else
      fields_[name] = std::forward<Value>(value);
    return *this;
  }
  // Adds the duration in milliseconds and appends "_ms" to the name.
  LogLine& AddTime(std::string_view name, Duration duration);
  LogLine& AddRounded(std::string_view name, double value);

  std::string ToJson() const { return boost::json::serialize(fields_); }

 private:
  boost::json::object fields_;
};

// Writes JSON lines to standard output from a background thread. Logging never
// blocks: if the queue is full, the oldest line is dropped and counted.
class DecisionLog {
 public:
  explicit DecisionLog(const std::string& level);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void SetLevel(const std::string& level);
  bool WritesDebug() const { return logger_->should_log(spdlog::level::debug); }
  void Debug(const LogLine& line) { Write(spdlog::level::debug, line); }
  void Info(const LogLine& line) { Write(spdlog::level::info, line); }
  void Warn(const LogLine& line) { Write(spdlog::level::warn, line); }
  // Number of lines dropped because the queue was full.
  uint64_t dropped() const { return pool_->overrun_counter(); }

 private:
  void Write(spdlog::level::level_enum level, const LogLine& line);

  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::async_logger> logger_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_DECISION_LOG_H_
