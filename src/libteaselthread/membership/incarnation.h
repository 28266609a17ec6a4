#ifndef TEASELTHREAD_MEMBERSHIP_INCARNATION_H_
#define TEASELTHREAD_MEMBERSHIP_INCARNATION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselthread {

// Identifies one run of a node process: a random 64-bit number that is
// generated at startup.
class Incarnation {
 public:
  constexpr Incarnation() = default;
  constexpr explicit Incarnation(uint64_t value) : value_(value) {}

  // Exactly 16 lower-case hexadecimal digits.
  static std::optional<Incarnation> Parse(std::string_view text);

  uint64_t value() const { return value_; }
  std::string ToString() const;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;

 private:
  uint64_t value_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_MEMBERSHIP_INCARNATION_H_
