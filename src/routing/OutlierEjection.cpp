#include "gentianloom/routing/OutlierEjection.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kFirstEjection{ 1'000 };
constexpr std::int64_t kMaxDoublings = 5;

bool IsFailure(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::NotReached || aOutcome == AttemptOutcome::Interrupted ||
         aOutcome == AttemptOutcome::TimedOut;
}

} // namespace

void OutlierEjection::OnAttempt(AttemptOutcome aOutcome, TimePoint aNow)
{
  if (IsFailure(aOutcome)) {
    mSuccesses = 0;
    ++mConsecutiveFailures;
    if (StateAt(aNow) == EjectionState::Probing || mConsecutiveFailures >= kFailuresToEject) {
      Eject(aNow);
    }
    return;
  }
  if (aOutcome != AttemptOutcome::Done) {
    return;
  }
  mConsecutiveFailures = 0;
  ++mSuccesses;
  if (mIsEjectedOrProbing && StateAt(aNow) == EjectionState::Probing &&
      mSuccesses >= kSuccessesToRecover) {
    mIsEjectedOrProbing = false;
    mEjections = 0;
  }
}

void OutlierEjection::Eject(TimePoint aNow)
{
  if (StateAt(aNow) == EjectionState::Ejected) {
    return; // the attempt started before the ejection
  }
  mIsEjectedOrProbing = true;
  mConsecutiveFailures = 0;
  mSuccesses = 0;
  mEjectedUntil = aNow + kFirstEjection * (1LL << std::min(mEjections, kMaxDoublings));
  ++mEjections;
}

EjectionState OutlierEjection::StateAt(TimePoint aNow) const
{
  if (!mIsEjectedOrProbing) {
    return EjectionState::Healthy;
  }
  return aNow < mEjectedUntil ? EjectionState::Ejected : EjectionState::Probing;
}

} // namespace gentianloom
