#ifndef GENTIANLOOM_BASE_FILE_H
#define GENTIANLOOM_BASE_FILE_H

#include "gentianloom/base/Error.h"

#include <string>

namespace gentianloom {

/// @brief Reads a whole file. @return its bytes, or ErrorCode::BadSettings with the path in its
/// text
Result<std::string> ReadFile(const std::string& aPath, Step aStep);

} // namespace gentianloom

#endif
