#ifndef GENTIANLOOM_RELAY_REQUEST_FINGERPRINT_H
#define GENTIANLOOM_RELAY_REQUEST_FINGERPRINT_H

#include "gentianloom/routing/EndpointLoad.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/**
 * @brief Hashes what a request and its repetitions have in common.
 *
 * The request id is not included, because each repetition of a caller has a new one. An absent body
 * counts as an empty one.
 * @param aOrganisation name; empty for an anonymous caller
 * @param aPath host and path, with the query
 * @return 16 hexadecimal digits, the same on every instance
 * @par Complexity linear in the path and the body
 */
std::string MakeRequestFingerprint(std::string_view aOrganisation,
                                   std::string_view aPath,
                                   std::string_view aBody);

/// Most parts of one prompt that may be found to crash endpoints.
inline constexpr std::size_t kMaxCrashParts = 64;

/**
 * @brief Returns the keys under which the crashes of a request's runs are counted.
 *
 * The first one is that of the request itself. The others are those of its prompt's first
 * kMaxCrashParts parts, without the last part, which no other request has.
 * @param aFingerprint see MakeRequestFingerprint()
 * @par Complexity n log n in the parts
 */
std::vector<std::string> MakeCrashKeys(std::string aFingerprint,
                                       std::span<const PromptPart> aParts);

} // namespace gentianloom

#endif
