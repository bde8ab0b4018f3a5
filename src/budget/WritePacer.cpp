#include "gentianloom/budget/WritePacer.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Urgent writes that may be made ahead of the interval.
constexpr double kUrgentWrites = 3.0;
/// Intervals between writes that no request waits for; the rest is kept for urgent ones.
constexpr int kQuietIntervals = 2;
constexpr int kMostDoublings = 6;

} // namespace

WritePacer::WritePacer(Millis aInterval, Millis aLongestBackOff)
  : mInterval(aInterval)
  , mLongestBackOff(aLongestBackOff)
  , mCredit(kUrgentWrites)
{
}

void WritePacer::SetInterval(Millis aInterval)
{
  mInterval = aInterval;
}

double WritePacer::CreditAt(TimePoint aNow) const
{
  const auto passed = std::chrono::duration<double>(aNow - mLast) / mInterval;
  return std::min(kUrgentWrites, mCredit + passed);
}

TimePoint WritePacer::NextWrite(TimePoint aNow, bool aUrgent) const
{
  const double missing = 1.0 - CreditAt(aNow);
  auto at = aNow;
  if (missing > 0) {
    at += std::chrono::ceil<Micros>(missing * std::chrono::duration<double>(mInterval));
  }
  if (!aUrgent) {
    at = std::max(at, mLast + kQuietIntervals * mInterval);
  }
  return std::max(at, mNotBefore);
}

void WritePacer::OnWrite(TimePoint aNow)
{
  mCredit = CreditAt(aNow) - 1.0;
  mLast = aNow;
}

void WritePacer::OnSuccess()
{
  mFailures = 0;
  mNotBefore = {};
}

void WritePacer::OnFailure(TimePoint aNow, double aJitter)
{
  const auto doublings = std::min(mFailures++, kMostDoublings);
  const auto wait = std::min<Millis>(mInterval * (std::int64_t{ 1 } << doublings), mLongestBackOff);
  mNotBefore = aNow + std::chrono::duration_cast<Micros>(wait * (0.5 + 0.5 * aJitter));
}

Millis FleetInterval(Millis aInterval, std::size_t aRouters, std::int64_t aFleetCalls)
{
  const auto needed = Millis(static_cast<std::int64_t>(aRouters) * 1'000 / aFleetCalls);
  return std::max(aInterval, needed);
}

} // namespace gentianloom
