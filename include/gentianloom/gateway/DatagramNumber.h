#ifndef GENTIANLOOM_GATEWAY_DATAGRAM_NUMBER_H
#define GENTIANLOOM_GATEWAY_DATAGRAM_NUMBER_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace gentianloom {

/// Largest number of tokens that a datagram between instances may state: sums over thousands of
/// datagrams still fit into 64 bits.
inline constexpr std::int64_t kMaxDatagramTokens = std::int64_t{ 1 } << 50;

/**
 * @brief Reads a number from a decoded datagram.
 *
 * @return a number from 0 to aMax
 * @throws nlohmann::json::exception if the array has no such element, or it is not an integer in
 *   that range
 */
std::int64_t ReadDatagramNumber(const nlohmann::json& aArray,
                                std::size_t aIndex,
                                std::int64_t aMax = kMaxDatagramTokens);

} // namespace gentianloom

#endif
