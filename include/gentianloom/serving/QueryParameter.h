#ifndef GENTIANLOOM_SERVING_QUERY_PARAMETER_H
#define GENTIANLOOM_SERVING_QUERY_PARAMETER_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace gentianloom {

/// @brief A number of a query string such as `from=1&to=2`; nothing if it is missing or no number.
std::optional<std::int64_t> FindQueryNumber(std::string_view aQuery, std::string_view aName);

} // namespace gentianloom

#endif
