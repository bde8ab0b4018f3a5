#include "gentianloom/routing/EndpointRecord.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Share of the time to the first token that is saved if the whole prompt is cached.
constexpr double kFullPrefixSaving = 0.9;
/// Weight of the squared load in the expected time to the first token: if all slots are used, the
/// time is 1 + kLoadWeight times that of an idle endpoint.
constexpr double kLoadWeight = 2.0;

} // namespace

void EndpointRecord::SetSlots(std::int64_t aSlots, Millis aFirstTokenTarget)
{
  if (aSlots <= 0 || aSlots == mSlots) {
    return;
  }
  if (mSlots == 0) {
    mLimit = ConcurrencyLimit(aSlots, aFirstTokenTarget);
  } else {
    mLimit.SetMax(aSlots);
  }
  mSlots = aSlots;
}

bool EndpointRecord::HasCapacity(TimePoint aNow) const
{
  if (mEjection.StateAt(aNow) == EjectionState::Probing && mLoad.OwnCount() > 0) {
    return false;
  }
  if (mSlots == 0) {
    return true;
  }
  return mLoad.OwnCount() < mLimit.Value() && mLoad.Running(aNow) < static_cast<double>(mSlots);
}

double EndpointRecord::ExpectedFirstTokenMs(const LatencyBaseline& aBaseline,
                                            std::span<const std::uint64_t> aPrefixes,
                                            TimePoint aNow) const
{
  const double slowdown = mSlowdown.SlowdownFactor(aNow);
  const double running = mLoad.Running(aNow);
  const double slots = mSlots > 0 ? static_cast<double>(mSlots) : running + 1;
  const double load = running / slots;
  const double saved = kFullPrefixSaving * mPrefixes.CachedShare(aPrefixes, aNow);
  double out = aBaseline.FirstTokenMs() * slowdown * (1 - saved) * (1 + kLoadWeight * load * load);
  // An engine processes prompts one after another, so the request waits for all pending prompts.
  // Their number is estimated from this router's pending prompts, scaled by the ratio of all
  // running requests to this router's.
  const double own = static_cast<double>(std::max<std::int64_t>(1, mLoad.OwnCount()));
  const double pending =
    static_cast<double>(mRequestsAwaitingFirstToken) * std::max(1.0, running / own);
  out += aBaseline.FirstTokenMs() * slowdown * pending;
  // If all slots are used, the request also waits for a free slot.
  if (running >= slots) {
    out += aBaseline.TotalMs() * slowdown * (running - slots + 1) / slots;
  }
  return out;
}

} // namespace gentianloom
