#ifndef GENTIANLOOM_RELAY_REQUEST_FINGERPRINT_H
#define GENTIANLOOM_RELAY_REQUEST_FINGERPRINT_H

#include <string>
#include <string_view>

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

} // namespace gentianloom

#endif
