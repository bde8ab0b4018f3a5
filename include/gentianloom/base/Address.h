#ifndef GENTIANLOOM_BASE_ADDRESS_H
#define GENTIANLOOM_BASE_ADDRESS_H

#include "gentianloom/base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/**
 * @brief Parses an address of the form `host:port`.
 * @return host and port, or ErrorCode::BadSettings with the address in its text
 */
Result<std::pair<std::string, std::uint16_t>> ParseAddress(std::string_view aAddress);

} // namespace gentianloom

#endif
