#ifndef TEASELTHREAD_TEXT_FILE_H_
#define TEASELTHREAD_TEXT_FILE_H_

#include <string>

#include "libteaselthread/error.h"

namespace teaselthread {

// Reads a whole file. Fails with kUnreadableFile if the file cannot be read or
// is empty.
Result<std::string> ReadTextFile(const std::string& file_name);

}  // namespace teaselthread

#endif  // TEASELTHREAD_TEXT_FILE_H_
