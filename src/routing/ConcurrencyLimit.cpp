#include "gentianloom/routing/ConcurrencyLimit.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr double kDecreaseFactor = 0.8;
constexpr double kMinLimit = 1;
constexpr Millis kMinDecreaseInterval{ 1'000 };

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::int64_t aMax, Millis aTarget)
  : mMax(std::max(kMinLimit, static_cast<double>(aMax)))
  , mTarget(aTarget)
  , mValue(mMax)
{
}

void ConcurrencyLimit::SetMax(std::int64_t aMax)
{
  mMax = std::max(kMinLimit, static_cast<double>(aMax));
  mValue = std::min(mValue, mMax);
}

void ConcurrencyLimit::OnFirstToken(Micros aTimeToFirstToken,
                                    std::int64_t aInFlight,
                                    TimePoint aNow)
{
  if (aTimeToFirstToken > mTarget) {
    Decrease(aNow);
    return;
  }
  // The limit is raised only if at least half of it is used. Otherwise, a first token in time does
  // not show that the endpoint can handle more requests.
  if (static_cast<double>(aInFlight) * 2 >= mValue) {
    mValue = std::min(mMax, mValue + 1 / mValue);
  }
}

void ConcurrencyLimit::Decrease(TimePoint aNow)
{
  if (aNow - mLastDecrease < kMinDecreaseInterval) {
    return;
  }
  mLastDecrease = aNow;
  mValue = std::max(kMinLimit, mValue * kDecreaseFactor);
}

} // namespace gentianloom
