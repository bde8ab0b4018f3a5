#ifndef GENTIANLOOM_BASE_BOUNDED_JSON_H
#define GENTIANLOOM_BASE_BOUNDED_JSON_H

#include "gentianloom/base/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace gentianloom {

/// Lists and objects within each other that a text of another writer may have.
inline constexpr int kMaxJsonDepth = 32;

/**
 * @brief Parses a text that another writer may have written.
 *
 * What is nested more deeply than kMaxJsonDepth is not stored, so that the memory that is used
 * stays within a small multiple of the text.
 * @return the value, or ErrorCode::MalformedJson if the text is no JSON or nested too deeply
 */
Result<nlohmann::json> ParseBoundedJson(std::string_view aText);

/**
 * @brief Returns a whole number from 0 to aMax.
 * @throws nlohmann::json::exception for any other value, also for a number with a fraction or an
 *         exponent, which get() would convert without a check
 */
std::int64_t ToBoundedNumber(const nlohmann::json& aValue, std::int64_t aMax);

} // namespace gentianloom

#endif
