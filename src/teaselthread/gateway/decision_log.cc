#include "teaselthread/gateway/decision_log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cmath>

namespace teaselthread {
namespace {

// Queue capacity in lines: at most 1.6 MB at 400 bytes a line.
constexpr size_t kQueueLines = 4'096;
// UTC time with milliseconds and level, followed by the fields of the line.
constexpr char kPattern[] = R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l",%v)";

}  // namespace

LogLine& LogLine::AddTime(std::string_view name, Duration duration) {
  return Add(
      std::string(name) + "_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

LogLine& LogLine::AddRounded(std::string_view name, double value) {
  return Add(name, std::lround(value));
}

DecisionLog::DecisionLog(const std::string& level)
    : pool_(std::make_shared<spdlog::details::thread_pool>(kQueueLines, 1)) {
  logger_ = std::make_shared<spdlog::async_logger>(
      "decisions", std::make_shared<spdlog::sinks::stdout_sink_st>(), pool_,
      spdlog::async_overflow_policy::overrun_oldest);
  logger_->set_pattern(kPattern, spdlog::pattern_time_type::utc);
  logger_->flush_on(spdlog::level::info);
  SetLevel(level);
}

DecisionLog::~DecisionLog() {
  logger_->flush();
}

void DecisionLog::SetLevel(const std::string& level) {
  logger_->set_level(spdlog::level::from_str(level));
}

void DecisionLog::Write(spdlog::level::level_enum level, const LogLine& line) {
  if (!logger_->should_log(level))
    return;
  // The opening brace is already part of kPattern.
  logger_->log(level, "{}", std::string_view(line.ToJson()).substr(1));
}

}  // namespace teaselthread
