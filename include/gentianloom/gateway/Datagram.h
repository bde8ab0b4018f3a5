#ifndef GENTIANLOOM_GATEWAY_DATAGRAM_H
#define GENTIANLOOM_GATEWAY_DATAGRAM_H

#include "gentianloom/base/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace gentianloom {

/// Largest number of tokens that a datagram between instances may state: sums over thousands of
/// datagrams still fit into 64 bits.
inline constexpr std::int64_t kMaxDatagramTokens = std::int64_t{ 1 } << 50;

/// @brief Encodes an array as MessagePack, to be sent in one datagram.
std::string EncodeDatagram(const nlohmann::json& aArray);

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

/**
 * @brief Reads an id, which may be any number of 64 bits, from a decoded datagram.
 *
 * @throws nlohmann::json::exception if the array has no such element, or it is no such number
 */
std::uint64_t ReadDatagramId(const nlohmann::json& aArray, std::size_t aIndex);

/**
 * @brief Decodes a datagram.
 *
 * @param aRead returns the message in an array; may throw nlohmann::json::exception
 * @return the message, or ErrorCode::MalformedRequest if it is not a valid one
 */
template<typename Read>
auto DecodeDatagram(std::string_view aBytes, Read aRead)
  -> Result<std::invoke_result_t<Read, const nlohmann::json&>>
{
  try {
    return aRead(nlohmann::json::from_msgpack(aBytes.begin(), aBytes.end()));
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedRequest, Step::RequestAccept, "peer", ex.what());
  }
}

} // namespace gentianloom

#endif
