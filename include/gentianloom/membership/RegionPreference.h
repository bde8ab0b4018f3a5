#ifndef GENTIANLOOM_MEMBERSHIP_REGION_PREFERENCE_H
#define GENTIANLOOM_MEMBERSHIP_REGION_PREFERENCE_H

#include "gentianloom/membership/InstanceDirectory.h"
#include "gentianloom/routing/ZoneRegions.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/**
 * @brief Chooses the instances that a caller learns of, by availability zone and region. No I/O.
 *
 * Load pattern: callers of several regions, of which some may use instances of certain regions
 * only.
 */
struct RegionPreference
{
  ZoneRegions mRegions;
  std::string mCallerRegion; ///< empty: not known
  AllowedRegions mAllowed;   ///< that all routes of the caller's host allow

  /// @brief Instances of the caller's zone if they are at least two, else those of its region, else
  /// those of the allowed regions, else all.
  ///
  /// If regions are restricted, instances outside both these and the caller's region are left out,
  /// unless nothing would be left. With fewer than two regions: those of the zone, else all.
  /// @param aZone zone of the caller; may be empty
  std::vector<const InstanceRecord*> Choose(std::vector<const InstanceRecord*> aInstances,
                                            std::string_view aZone) const;

private:
  bool IsInCallerRegion(const InstanceRecord& aInstance) const;
  bool IsAllowed(const InstanceRecord& aInstance) const;
};

} // namespace gentianloom

#endif
