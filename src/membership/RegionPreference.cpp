#include "gentianloom/membership/RegionPreference.h"

#include <algorithm>
#include <iterator>

namespace gentianloom {

namespace {

/// Instances of a zone below which the others are offered as well.
constexpr std::size_t kMinSameZone = 2;

using Instances = std::vector<const InstanceRecord*>;

template<typename Predicate>
Instances Filter(const Instances& aInstances, Predicate aPredicate)
{
  Instances out;
  std::copy_if(aInstances.begin(),
               aInstances.end(),
               std::back_inserter(out),
               [&](const InstanceRecord* it) { return aPredicate(*it); });
  return out;
}

} // namespace

bool RegionPreference::IsInCallerRegion(const InstanceRecord& aInstance) const
{
  return !mCallerRegion.empty() && mRegions.RegionOf(aInstance.mZone) == mCallerRegion;
}

bool RegionPreference::IsAllowed(const InstanceRecord& aInstance) const
{
  return Allows(mAllowed, mRegions.RegionOf(aInstance.mZone));
}

std::vector<const InstanceRecord*> RegionPreference::Choose(
  std::vector<const InstanceRecord*> aInstances,
  std::string_view aZone) const
{
  const bool hasRegions = mRegions.HasSeveralRegions();
  if (hasRegions) {
    auto kept = Filter(aInstances, [this](const InstanceRecord& it) {
      return IsAllowed(it) || IsInCallerRegion(it);
    });
    if (!kept.empty()) {
      aInstances = std::move(kept);
    }
  }
  auto sameZone =
    Filter(aInstances, [aZone](const InstanceRecord& it) { return it.mZone == aZone; });
  if (sameZone.size() >= kMinSameZone) {
    return sameZone;
  }
  if (!hasRegions) {
    return aInstances;
  }
  auto sameRegion =
    Filter(aInstances, [this](const InstanceRecord& it) { return IsInCallerRegion(it); });
  if (!sameRegion.empty()) {
    return sameRegion;
  }
  auto allowed = Filter(aInstances, [this](const InstanceRecord& it) { return IsAllowed(it); });
  return allowed.empty() ? aInstances : allowed;
}

} // namespace gentianloom
