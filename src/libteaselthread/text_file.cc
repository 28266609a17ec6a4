#include "libteaselthread/text_file.h"

#include <fstream>
#include <sstream>

namespace teaselthread {

Result<std::string> ReadTextFile(const std::string& file_name) {
  std::ifstream file(file_name);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Error{ErrorCode::kUnreadableFile,
                 file_name + ": cannot be read or is empty"};
  }
  return text.str();
}

}  // namespace teaselthread
