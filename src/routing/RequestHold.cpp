#include "gentianloom/routing/RequestHold.h"

#include <algorithm>

namespace gentianloom {

void RequestHold::Begin(Millis aPause, TimePoint aNow, double aJitter)
{
  if (aPause <= Millis(0)) {
    return;
  }
  const auto pause = std::min(aPause, kMaxPause);
  const auto maxDelay =
    std::min<std::chrono::duration<double, std::milli>>(pause * kMaxDelayShare, kMaxDelay);
  const auto until = aNow + pause + std::chrono::duration_cast<Micros>(maxDelay * aJitter);
  mUntil = std::max(mUntil, until);
  mIsAnswered = false;
  mIsTrialOutdated = true;
}

bool RequestHold::AllowsRequest(TimePoint aNow) const
{
  return mIsAnswered || (!IsPaused(aNow) && !mIsTrialInFlight);
}

Micros RequestHold::TimeLeft(TimePoint aNow) const
{
  return std::max(Micros(0), std::chrono::duration_cast<Micros>(mUntil - aNow));
}

bool RequestHold::OnSent()
{
  if (mIsAnswered) {
    return false;
  }
  mIsTrialInFlight = true;
  mIsTrialOutdated = false;
  return true;
}

void RequestHold::OnTrialAnswered()
{
  mIsAnswered = mIsAnswered || !mIsTrialOutdated;
}

} // namespace gentianloom
