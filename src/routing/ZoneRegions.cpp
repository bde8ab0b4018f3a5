#include "gentianloom/routing/ZoneRegions.h"

#include <algorithm>

namespace gentianloom {

AllowedRegions Intersect(const AllowedRegions& aLeft, const AllowedRegions& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft ? aLeft : aRight;
  }
  std::vector<std::string> out;
  for (const auto& it : *aLeft) {
    if (Allows(aRight, it)) {
      out.push_back(it);
    }
  }
  return out;
}

bool Allows(const AllowedRegions& aRegions, std::string_view aRegion)
{
  return !aRegions || (!aRegion.empty() &&
                       std::find(aRegions->begin(), aRegions->end(), aRegion) != aRegions->end());
}

bool Allows(const AllowedZones& aZones, std::string_view aZone)
{
  return !aZones || aZones->contains(aZone);
}

std::string_view ZoneRegions::RegionOf(std::string_view aZone) const
{
  const auto it = mRegions.find(aZone);
  return it == mRegions.end() ? std::string_view() : it->second;
}

bool ZoneRegions::HasSeveralRegions() const
{
  return std::any_of(mRegions.begin(), mRegions.end(), [this](const auto& it) {
    return it.second != mRegions.begin()->second;
  });
}

AllowedZones ZoneRegions::ZonesIn(const AllowedRegions& aRegions) const
{
  if (!aRegions) {
    return std::nullopt;
  }
  std::set<std::string, std::less<>> out;
  for (const auto& [zone, region] : mRegions) {
    if (Allows(aRegions, region)) {
      out.insert(zone);
    }
  }
  return out;
}

} // namespace gentianloom
