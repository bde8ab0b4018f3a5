#include "gentianloom/routing/EvenLoad.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// Mean load per slot below which differences between endpoints do not matter.
constexpr double kMinMeanLoad = 0.05;
/// Bound of the average excess: an endpoint that gets no requests reports nothing, and must not
/// keep a high average for ever.
constexpr double kMaxExcess = 0.5;

} // namespace

EvenLoad::EvenLoad(std::span<const EndpointRegistry::Ptr> aEndpoints,
                   const EvenLoadSpec& aSpec,
                   TimePoint aNow)
  : mSpec(aSpec)
  , mNow(aNow)
{
  double known = 0;
  for (const auto& it : aEndpoints) {
    if (it->mLoad.Trend().IsKnown()) {
      mMeanAverage += it->mLoad.Trend().AverageRequests() / Slots(*it);
      ++known;
    }
  }
  mMeanAverage = known > 0 ? mMeanAverage / known : 0;
  for (const auto& it : aEndpoints) {
    mMeanPresent += PresentLoad(*it) / static_cast<double>(aEndpoints.size());
  }
}

double EvenLoad::Slots(const Endpoint& aEndpoint) const
{
  const auto stated = static_cast<double>(aEndpoint.mEntry.mSlots);
  return std::max(1.0, stated > 0 ? stated : mSpec.mSlots);
}

double EvenLoad::AverageExcess(const Endpoint& aEndpoint) const
{
  const auto& trend = aEndpoint.mLoad.Trend();
  if (!trend.IsKnown()) {
    return 0;
  }
  const double load = trend.AverageRequests() / Slots(aEndpoint);
  const double excess = (load - mMeanAverage) / std::max(kMinMeanLoad, mMeanAverage);
  return trend.Freshness(mNow) * std::clamp(excess, -kMaxExcess, kMaxExcess);
}

double EvenLoad::PresentLoad(const Endpoint& aEndpoint) const
{
  const auto& load = aEndpoint.mLoad;
  const double own = static_cast<double>(load.InFlight());
  if (!load.Trend().IsKnown()) {
    return std::max(mMeanAverage, own / Slots(aEndpoint));
  }
  const double requests = own + load.Trend().Others(mNow, mSpec.mRequestTime);
  return requests / Slots(aEndpoint) * load.Trend().RelativePace(mNow);
}

double EvenLoad::PresentExcess(const Endpoint& aEndpoint) const
{
  return (PresentLoad(aEndpoint) - mMeanPresent) / std::max(kMinMeanLoad, mMeanPresent);
}

bool EvenLoadSwitch::Observe(const std::string& aService,
                             std::span<const EndpointRegistry::Ptr> aEndpoints)
{
  if (mMode == EvenLoadMode::Off || mServices.contains(aService)) {
    return false;
  }
  const bool isOn = mMode == EvenLoadMode::On ||
                    std::any_of(aEndpoints.begin(), aEndpoints.end(), [](const auto& it) {
                      return it->mLoad.Trend().HasPace();
                    });
  if (isOn) {
    mServices.insert(aService);
  }
  return isOn;
}

bool EvenLoadSwitch::IsOn(std::string_view aService) const
{
  return mServices.contains(aService);
}

double GumbelNoise(std::uint64_t aHash)
{
  // The upper 53 bits, which a double represents exactly, so that the result is finite.
  const double uniform = std::ldexp(static_cast<double>(aHash >> 11) + 0.5, -53);
  return -std::log(-std::log(uniform));
}

} // namespace gentianloom
