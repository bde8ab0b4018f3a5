#include "gentianloom/outcome/Drain.h"

namespace gentianloom {

void Drain::OnSignal(TimePoint aNow)
{
  if (mPhase != DrainPhase::Serving) {
    mIsWaitSkipped = true;
    return;
  }
  mPhase = DrainPhase::AddressWithdrawn;
  mSignalledAt = aNow;
}

DrainPhase Drain::Advance(TimePoint aNow, int aOpenRequests)
{
  const auto elapsed = aNow - mSignalledAt;
  if (mPhase == DrainPhase::AddressWithdrawn &&
      (mIsWaitSkipped || elapsed >= mSettings.mAddressLifetime)) {
    mPhase = DrainPhase::Draining;
    // aOpenRequests was counted while new requests were still accepted, so it is not evaluated
    // before the next call.
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
