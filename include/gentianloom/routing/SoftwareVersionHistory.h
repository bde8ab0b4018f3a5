#ifndef GENTIANLOOM_ROUTING_SOFTWARE_VERSION_HISTORY_H
#define GENTIANLOOM_ROUTING_SOFTWARE_VERSION_HISTORY_H

#include "gentianloom/base/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/// Versions of the endpoints' software, by service.
using SoftwareVersions = std::map<std::string, std::set<std::string>, std::less<>>;

/**
 * @brief Which software versions of each service have served recently. No clock or I/O.
 *
 * If only one can have begun a stream, the stream can be resumed although nobody knows its origin.
 */
class SoftwareVersionHistory
{
public:
  /// Longer than a caller waits for a stream, with all its retries.
  static constexpr Millis kMaxStreamAge{ 60'000 };
  /// A history that was confirmed longer ago is outdated: other versions may serve by now. The list
  /// of endpoints is confirmed whenever a watch returns, which takes 2.3 s at most.
  static constexpr Millis kMaxConfirmationAge{ 2'600 };

  /// @brief Notes that a version serves now, or may have served until now.
  void Observe(std::string_view aService, std::string_view aVersion, TimePoint aNow);

  /// @brief As Observe(), for a version that was never observed; others keep their time.
  void ObserveUnknown(std::string_view aService, std::string_view aVersion, TimePoint aNow);

  /// @brief States that from a time on, all versions of the last kMaxStreamAge were observed.
  void SetCompleteFrom(TimePoint aTime) { mCompleteFrom = aTime; }

  /// @brief States that all versions which served up to a time were observed.
  void ConfirmUntil(TimePoint aTime) { mConfirmedUntil = aTime; }

  /// @brief Sets the versions that stand in the record which processes read when they start.
  void SetRecorded(SoftwareVersions aVersions) { mRecorded = std::move(aVersions); }

  /// @brief Whether a process that starts now would know that a version has served. Streams should
  /// begin at no other: once all instances have ended, nobody could tell what began them.
  bool IsRecorded(std::string_view aService, std::string_view aVersion) const;

  /// @brief Returns the only version that can have begun a stream of a service that still runs.
  /// @return nothing if there are several, none, or if the history is not complete or outdated
  std::optional<std::string> SoleVersion(std::string_view aService, TimePoint aNow) const;

  /// @brief Versions that were observed within a time before now.
  SoftwareVersions ObservedWithin(Millis aTime, TimePoint aNow) const;

private:
  std::map<std::string, std::map<std::string, TimePoint, std::less<>>, std::less<>> mObservedAt;
  SoftwareVersions mRecorded;
  TimePoint mCompleteFrom = TimePoint::max();
  TimePoint mConfirmedUntil{};
};

} // namespace gentianloom

#endif
