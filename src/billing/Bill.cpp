#include "gentianloom/billing/Bill.h"

#include "gentianloom/base/Ids.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace gentianloom {

std::string MakeBillKey(std::string_view aOrganisation,
                        std::string_view aRequestId,
                        std::string_view aContent)
{
  // The hash of each part seeds the next, so that equal concatenations of different parts differ.
  const auto hash = StableHash(aContent, StableHash(aRequestId, StableHash(aOrganisation)));
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(hash));
  return buf.data();
}

std::int64_t DaysSinceEpoch(Millis aWallTime)
{
  return std::chrono::floor<std::chrono::days>(aWallTime).count();
}

std::string FormatDay(std::int64_t aDay)
{
  const std::chrono::year_month_day date{ std::chrono::sys_days(std::chrono::days(aDay)) };
  std::array<char, 32> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%04d-%02u-%02u",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()));
  return buf.data();
}

} // namespace gentianloom
