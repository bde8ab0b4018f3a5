#include "gentianloom/outcome/Drain.h"

namespace gentianloom {

void Drain::OnSignal(TimePoint aNow)
{
  if (mPhase != DrainPhase::Serving) {
    mIsWaitSkipped = true;
    return;
  }
  mPhase = DrainPhase::Announced;
  mSignalledAt = aNow;
}

DrainPhase Drain::Advance(TimePoint aNow, int aOpenRequests)
{
  const auto elapsed = aNow - mSignalledAt;
  if (mPhase == DrainPhase::Announced &&
      (mIsWaitSkipped || elapsed >= mSettings.mAddressLifetime)) {
    mPhase = DrainPhase::Draining;
    // The router rejects new requests from now on; open requests are counted only after that.
    return mPhase;
  }
  const bool isTimeUp =
    mIsWaitSkipped || elapsed >= mSettings.mAddressLifetime + mSettings.mMaxDrainTime;
  if (mPhase == DrainPhase::Draining && (isTimeUp || aOpenRequests == 0)) {
    mPhase = DrainPhase::Flushing;
  }
  return mPhase;
}

} // namespace gentianloom
