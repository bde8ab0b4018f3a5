#ifndef GENTIANLOOM_SERVING_QUERY_PARAMETER_H
#define GENTIANLOOM_SERVING_QUERY_PARAMETER_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace gentianloom {

/**
 * @brief Finds an integer parameter in a query string such as `from=1&to=2`.
 * @return the first value of the parameter that is an integer; empty if there is none
 */
std::optional<std::int64_t> FindQueryNumber(std::string_view aQuery, std::string_view aName);

} // namespace gentianloom

#endif
