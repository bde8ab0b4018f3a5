#include "gentianloom/routing/EndpointRecord.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Share of the first-token time that a fully cached prompt saves.
constexpr double kFullPrefixSaving = 0.9;
/// Relative growth of the first-token time when all slots are used.
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
  if (mEjection.StateAt(aNow) == EjectionState::Probing && mLoad.Own() > 0) {
    return false;
  }
  if (mSlots == 0) {
    return true;
  }
  return mLoad.Own() < mLimit.Value() && mLoad.Running(aNow) < static_cast<double>(mSlots);
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
  // An engine processes prompts one after another. The pending prompts of other routers are
  // extrapolated from their share of the load.
  const double own = static_cast<double>(std::max<std::int64_t>(1, mLoad.Own()));
  const double pending = static_cast<double>(mAwaitingFirstToken) * std::max(1.0, running / own);
  out += aBaseline.FirstTokenMs() * slowdown * pending;
  if (running >= slots) {
    out += aBaseline.TotalMs() * slowdown * (running - slots + 1) / slots;
  }
  return out;
}

} // namespace gentianloom
