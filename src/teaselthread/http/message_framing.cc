#include "teaselthread/http/message_framing.h"

namespace teaselthread {

bool HasUnambiguousFraming(const http::fields& fields) {
  const size_t encodings = fields.count(http::field::transfer_encoding);
  if (encodings == 0)
    return true;
  return encodings == 1 &&
         beast::iequals(fields[http::field::transfer_encoding], "chunked") &&
         fields.find(http::field::content_length) == fields.end();
}

}  // namespace teaselthread
