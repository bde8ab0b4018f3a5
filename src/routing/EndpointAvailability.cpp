#include "gentianloom/routing/EndpointAvailability.h"

namespace gentianloom {

void EndpointAvailability::Update(AvailabilitySource aSource,
                                  AvailabilityState aState,
                                  TimePoint aAsOf)
{
  if (aSource == AvailabilitySource::List) {
    const bool repeated = mLastListState == aState;
    mLastListState = aState;
    if (repeated) {
      return;
    }
  }
  if (aState == AvailabilityState::Leaving) {
    auto& observedAt = LeavingObservedAt(aSource);
    observedAt = observedAt && *observedAt > aAsOf ? observedAt : aAsOf;
    return;
  }
  if (aSource != AvailabilitySource::Exchange) {
    RetractLeaving(aSource, aAsOf);
  }
  if (aSource == AvailabilitySource::Report) {
    RetractLeaving(AvailabilitySource::Exchange, aAsOf);
  }
  if (!mLastAvailable || aAsOf > *mLastAvailable) {
    mLastAvailable = aAsOf;
  }
}

void EndpointAvailability::RetractLeaving(AvailabilitySource aSource, TimePoint aAsOf)
{
  auto& observedAt = LeavingObservedAt(aSource);
  if (observedAt && aAsOf > *observedAt) {
    observedAt.reset();
  }
}

bool EndpointAvailability::IsLeavingByLocalSources() const
{
  return LeavingObservedAt(AvailabilitySource::List) ||
         LeavingObservedAt(AvailabilitySource::Report) ||
         LeavingObservedAt(AvailabilitySource::Exchange);
}

bool EndpointAvailability::IsLeaving(TimePoint aNow) const
{
  const auto& peerObservedAt = LeavingObservedAt(AvailabilitySource::Peer);
  return IsLeavingByLocalSources() ||
         (peerObservedAt && aNow - *peerObservedAt <= kMaxPeerLeavingAge);
}

bool EndpointAvailability::IsAvailable(TimePoint aNow, Millis aMaxAge) const
{
  return !IsLeaving(aNow) && mLastAvailable && aNow - *mLastAvailable <= aMaxAge;
}

} // namespace gentianloom
