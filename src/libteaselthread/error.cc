#include "libteaselthread/error.h"

#include <array>

namespace teaselthread {
namespace {

constexpr std::array<std::string_view, 15> kNames = {
    "syntax",          "unknown-section", "unknown-key",     "missing-key",
    "out-of-range",    "bad-value",       "unreadable-file", "malformed",
    "oversized",       "conflict",        "not-found",       "unavailable",
    "connection-lost", "timeout",         "superseded"};

}  // namespace

std::string_view ToString(ErrorCode code) {
  return kNames[static_cast<size_t>(code)];
}

std::string Describe(const Error& error) {
  return error.detail + " (" + std::string(ToString(error.code)) + ")";
}

}  // namespace teaselthread
