#ifndef GENTIANLOOM_BASE_ADDRESS_H
#define GENTIANLOOM_BASE_ADDRESS_H

#include "gentianloom/base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/**
 * @brief Splits `host:port`.
 * @return host and port, or ErrorCode::BadSettings that names the address
 */
Result<std::pair<std::string, std::uint16_t>> ParseAddress(std::string_view aAddress);

} // namespace gentianloom

#endif
