#ifndef GENTIANLOOM_BILLING_BILL_H
#define GENTIANLOOM_BILLING_BILL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/configuration/Configuration.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianloom {

/// What one run of a request used. The bill of a request is the largest use of all its runs.
struct Bill
{
  std::string mKey; ///< see BillKeyOf(); empty: no other run can bill the same work
  std::string mBudget;
  std::string mOrganisation;
  std::string mModel;
  std::int64_t mDay = 0; ///< days since 1970-01-01 UTC
  Tokens mTokens = 0;
};

/**
 * @brief Identifies a request over all its runs: a retry has the same key at every router.
 *
 * The content is part of the key, so that another request sent under a used identifier is billed.
 *
 * @return 16 hexadecimal digits
 * @par Complexity linear in the content
 */
std::string BillKeyOf(std::string_view aOrganisation,
                      std::string_view aRequestId,
                      std::string_view aContent);

/// @brief Day of a wall-clock time. @return days since 1970-01-01 UTC
std::int64_t DayOf(Millis aWallTime);

/// @brief Writes a day as `YYYY-MM-DD`.
std::string DayText(std::int64_t aDay);

/// @brief What a bill adds to the charge of its request. @param aBilled charged before
constexpr Tokens ChargeOf(Tokens aTokens, Tokens aBilled)
{
  return aTokens > aBilled ? aTokens - aBilled : 0;
}

} // namespace gentianloom

#endif
