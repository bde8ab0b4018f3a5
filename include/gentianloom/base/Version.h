#ifndef GENTIANLOOM_BASE_VERSION_H
#define GENTIANLOOM_BASE_VERSION_H

#include <string_view>

namespace gentianloom {

/// Version of the library and its programs.
inline constexpr std::string_view kVersion = "0.1.0";

} // namespace gentianloom

#endif
