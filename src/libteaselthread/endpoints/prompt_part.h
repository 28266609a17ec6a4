#ifndef TEASELTHREAD_ENDPOINTS_PROMPT_PART_H_
#define TEASELTHREAD_ENDPOINTS_PROMPT_PART_H_

#include <compare>
#include <cstdint>
#include <string>

namespace teaselthread {

// One part of a prompt. Requests with equal leading parts share their KV
// cache; the last part is specific to the request or its session.
struct PromptPart {
  std::string id;
  uint32_t tokens = 0;

  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_PROMPT_PART_H_
