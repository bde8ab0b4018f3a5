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
    auto& since = LeavingSince(aSource);
    since = since && *since > aAsOf ? since : aAsOf;
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
  auto& since = LeavingSince(aSource);
  if (since && aAsOf > *since) {
    since.reset();
  }
}

bool EndpointAvailability::IsLeavingByLocalSources() const
{
  return LeavingSince(AvailabilitySource::List) || LeavingSince(AvailabilitySource::Report) ||
         LeavingSince(AvailabilitySource::Exchange);
}

bool EndpointAvailability::IsLeaving(TimePoint aNow) const
{
  const auto& peer = LeavingSince(AvailabilitySource::Peer);
  return IsLeavingByLocalSources() || (peer && aNow - *peer <= kPeerStateLifetime);
}

bool EndpointAvailability::IsAvailable(TimePoint aNow, Millis aMaxAge) const
{
  return !IsLeaving(aNow) && mLastAvailable && aNow - *mLastAvailable <= aMaxAge;
}

} // namespace gentianloom
