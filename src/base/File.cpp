#include "gentianloom/base/File.h"

#include <fstream>
#include <sstream>

namespace gentianloom {

Result<std::string> ReadFile(const std::string& aPath, Step aStep)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return MakeError(
      ErrorCode::BadSettings, aStep, aPath, "cannot read the file " + aPath + "; check the path");
  }
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

} // namespace gentianloom
