#ifndef GENTIANLOOM_BILLING_BILL_H
#define GENTIANLOOM_BILLING_BILL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/configuration/Configuration.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianloom {

/// Token usage of one run of a request. A request is charged the largest usage of all its runs.
struct Bill
{
  std::string mKey; ///< from MakeBillKey(); empty: no other run can bill the same request
  std::string mBudget;
  std::string mOrganisation;
  std::string mModel;
  std::int64_t mDay = 0; ///< days since 1970-01-01 UTC
  Tokens mTokens = 0;
};

/**
 * @brief Makes the key that identifies a request in all its runs: a retry has the same key at every
 * router.
 *
 * The content is part of the key, so that another request with the same identifier is billed
 * separately.
 *
 * @return 16 hexadecimal digits
 * @par Complexity linear in the content
 */
std::string MakeBillKey(std::string_view aOrganisation,
                        std::string_view aRequestId,
                        std::string_view aContent);

/// @brief Converts a wall-clock time to a day. @return days since 1970-01-01 UTC
std::int64_t DaysSinceEpoch(Millis aWallTime);

/// @brief Formats a day as `YYYY-MM-DD`.
std::string FormatDay(std::int64_t aDay);

/// @brief Returns the tokens that a bill of @p aTokens adds to the charge of its request.
/// @param aBilled tokens that the request has been charged before
constexpr Tokens AdditionalCharge(Tokens aTokens, Tokens aBilled)
{
  return aTokens > aBilled ? aTokens - aBilled : 0;
}

} // namespace gentianloom

#endif
