#ifndef GENTIANLOOM_ROUTING_EVACUATED_ZONES_H
#define GENTIANLOOM_ROUTING_EVACUATED_ZONES_H

#include "gentianloom/base/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/**
 * @brief The availability zones that an operator has evacuated: their endpoints get no requests. No
 * clock or I/O; not thread-safe.
 *
 * Load pattern: a machine room is taken out of use, and all requests have to move to the other
 * zones within seconds.
 *
 * After the key-value service has come back from an older copy, a zone that the copy does not name
 * stays evacuated for kRewriteGracePeriod, in which the operator can write its key again.
 */
class EvacuatedZones
{
public:
  /// Time for an operator to write a key again that the key-value service has lost.
  static constexpr Millis kRewriteGracePeriod{ 10'000 };

  /// @brief Replaces all zones by a complete list.
  /// @param aIsRestoredFromCopy whether the list may lack zones that were evacuated since the copy
  /// @return the zones that the list lacks and whose kRewriteGracePeriod begins
  std::vector<std::string> OnSnapshot(std::span<const std::string> aZones,
                                      bool aIsRestoredFromCopy,
                                      TimePoint aNow);

  /// @brief Evacuates a zone.
  void Put(std::string_view aZone);

  /// @brief Ends the evacuation of a zone.
  void Remove(std::string_view aZone);

  /// @brief Ends the evacuation of the zones whose kRewriteGracePeriod is over. Must be called
  /// periodically.
  void RemoveExpired(TimePoint aNow);

  /// @brief Whether a zone is evacuated. O(log n) in the number of evacuated zones.
  bool IsEvacuated(std::string_view aZone) const { return mZones.contains(aZone); }

  /// @brief Names of all evacuated zones, in ascending order.
  std::vector<std::string> Names() const;

private:
  /// For each zone, until when it stays evacuated; nothing: until its key is removed.
  std::map<std::string, std::optional<TimePoint>, std::less<>> mZones;
};

} // namespace gentianloom

#endif
