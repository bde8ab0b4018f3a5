#include "gentianloom/budget/WritePacer.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Maximum number of urgent writes in a burst.
constexpr double kUrgentWrites = 3.0;
/// Number of intervals between two writes while no request waits. It is more than one, so that
/// allowance for urgent writes accumulates.
constexpr int kNormalWriteIntervals = 2;
/// Maximum number of times that the back-off is doubled.
constexpr int kMaxDoublings = 6;

} // namespace

WritePacer::WritePacer(Millis aInterval, Millis aMaxBackOff)
  : mInterval(aInterval)
  , mMaxBackOff(aMaxBackOff)
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

TimePoint WritePacer::NextWrite(TimePoint aNow, bool aIsUrgent) const
{
  const double missing = 1.0 - CreditAt(aNow);
  auto at = aNow;
  if (missing > 0) {
    at += std::chrono::ceil<Micros>(missing * std::chrono::duration<double>(mInterval));
  }
  if (!aIsUrgent) {
    at = std::max(at, mLast + kNormalWriteIntervals * mInterval);
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
  const auto doublings = std::min(mFailures++, kMaxDoublings);
  const auto wait = std::min<Millis>(mInterval * (std::int64_t{ 1 } << doublings), mMaxBackOff);
  mNotBefore = aNow + std::chrono::duration_cast<Micros>(wait * (0.5 + 0.5 * aJitter));
}

Millis FleetInterval(Millis aInterval, std::size_t aRouters, std::int64_t aFleetCallsPerSecond)
{
  const auto needed = Millis(static_cast<std::int64_t>(aRouters) * 1'000 / aFleetCallsPerSecond);
  return std::max(aInterval, needed);
}

} // namespace gentianloom
