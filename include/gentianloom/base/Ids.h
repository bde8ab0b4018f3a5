#ifndef GENTIANLOOM_BASE_IDS_H
#define GENTIANLOOM_BASE_IDS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianloom {

/**
 * @brief Creates a globally unique identifier from 128 random bits.
 * @param aPrefix kind of identifier, for example `req`
 * @return `prefix-` and 32 hexadecimal digits
 */
std::string MakeId(std::string_view aPrefix);

/**
 * @brief Returns the SHA-256 digest of a caller's or operator's secret key, in the form that
 * configuration files contain.
 * @param aKey the secret
 * @return `sha256:` and 64 hexadecimal digits
 * @par Complexity linear in the key
 */
std::string KeyDigest(std::string_view aKey);

/**
 * @brief Returns a 64-bit hash of bytes (xxHash) that is the same on every instance and in every
 * release.
 * @par Complexity linear in the bytes
 */
std::uint64_t StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace gentianloom

#endif
