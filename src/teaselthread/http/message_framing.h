#ifndef TEASELTHREAD_HTTP_MESSAGE_FRAMING_H_
#define TEASELTHREAD_HTTP_MESSAGE_FRAMING_H_

#include "teaselthread/asio.h"

namespace teaselthread {

// Whether the fields of a message define its length in one way only, and by no
// transfer coding but "chunked". The body of another message could be taken for
// a part of the next one, or be passed on in its coding.
bool HasUnambiguousFraming(const http::fields& fields);

}  // namespace teaselthread

#endif  // TEASELTHREAD_HTTP_MESSAGE_FRAMING_H_
