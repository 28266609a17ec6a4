#ifndef TEASELTHREAD_STORE_CRASH_RECORD_H_
#define TEASELTHREAD_STORE_CRASH_RECORD_H_

#include <boost/json/value.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "libteaselthread/endpoints/crash_evidence.h"

namespace teaselthread {

// The content of an object in the store: the prompt parts that crash engines,
// as far as the gateways of a zone know. Ages are those at the time of writing.
struct CrashRecord {
  uint64_t written_at_ms = 0;  // the writer's time of day, Unix
  std::vector<CrashEvidence> parts;

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

boost::json::value EncodeCrashRecord(const CrashRecord& record);
// Empty if the content is not valid.
std::optional<CrashRecord> DecodeCrashRecord(const boost::json::value& content);

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_CRASH_RECORD_H_
