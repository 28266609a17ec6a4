#ifndef TEASELTHREAD_TEXT_FILE_H_
#define TEASELTHREAD_TEXT_FILE_H_

#include <string>

#include "libteaselthread/error.h"

namespace teaselthread {

// The whole text of a file. Fails with kUnreadableFile, also if it is empty.
Result<std::string> ReadTextFile(const std::string& file_name);

}  // namespace teaselthread

#endif  // TEASELTHREAD_TEXT_FILE_H_
