#ifndef GENTIANLOOM_ROUTING_ZONE_REGIONS_H
#define GENTIANLOOM_ROUTING_ZONE_REGIONS_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Regions to which requests may be sent; unset: all. An empty list allows none.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// Availability zones to which a request may be sent; unset: all. An empty set allows none.
using AllowedZones = std::optional<std::set<std::string, std::less<>>>;

/// @brief Regions that are in both lists.
AllowedRegions Intersect(const AllowedRegions& aLeft, const AllowedRegions& aRight);

/// @brief Whether a region is in a list; an empty name is in no list.
bool Allows(const AllowedRegions& aRegions, std::string_view aRegion);

/// @brief Whether a zone is in a set.
bool Allows(const AllowedZones& aZones, std::string_view aZone);

/**
 * @brief The region of each availability zone. Immutable; no I/O.
 *
 * Load pattern: a fleet in several regions, in which some callers' data must stay in one of them.
 */
class ZoneRegions
{
public:
  ZoneRegions() = default;

  /// @param aRegions region by zone
  explicit ZoneRegions(std::map<std::string, std::string, std::less<>> aRegions)
    : mRegions(std::move(aRegions))
  {
  }

  /// @brief Region of a zone; empty if the zone is not known.
  std::string_view RegionOf(std::string_view aZone) const;

  /// @brief Whether the zones belong to at least two regions.
  bool HasSeveralRegions() const;

  /// @brief The zones that belong to one of the regions. A zone that is not known is in none.
  AllowedZones ZonesIn(const AllowedRegions& aRegions) const;

private:
  std::map<std::string, std::string, std::less<>> mRegions;
};

} // namespace gentianloom

#endif
