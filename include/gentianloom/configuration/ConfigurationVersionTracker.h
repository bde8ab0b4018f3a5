#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_VERSION_TRACKER_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_VERSION_TRACKER_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gentianloom {

/// Names one accepted configuration.
struct VersionId
{
  std::int64_t mVersion = 0; ///< 0: none
  std::string mDigest{};

  bool operator==(const VersionId&) const = default;
};

/// What a router is to do about a version that it heard of or read.
enum class VersionCheckResult : std::uint8_t
{
  Newer,  ///< newer than the one in force
  Same,   ///< the one in force
  Older,  ///< older; never taken
  Forked, ///< same number, other content; never taken, and an alarm
};

/// A condition that operators must look at.
enum class ConfigurationAlarm : std::uint8_t
{
  None,
  StoreBehind, ///< the key-value service keeps answering with an older version
  Forked       ///< two contents have one version number
};

/// @brief Stable name of an alarm, for status, metrics and logs.
std::string_view ToString(ConfigurationAlarm aAlarm);

/**
 * @brief Decides which configuration is in force on a router. Pure: no I/O, no clock of its own.
 *
 * The version in force only grows, whatever the key-value service or peers say. The service's
 * answers may be stale for a moment; if they stay behind for kStaleGrace, the service was probably
 * restored from an older state, which is an alarm. The next apply lies above Highest() and ends it.
 *
 * Until the head was read once in this run, a version taken from peers is provisional: a newer one
 * may have been accepted. A provisional router serves, but gives no orders to endpoints.
 */
class ConfigurationVersionTracker
{
public:
  /// How long answers may stay behind before that is an alarm.
  static constexpr Millis kStaleGrace{ 5'000 };

  /// @brief The head record was read, or is known to be absent (version 0).
  VersionCheckResult OnHead(const VersionId& aHead, TimePoint aNow);

  /// @brief A peer said which version it has in force.
  VersionCheckResult OnPeerVersion(const VersionId& aId);

  /// @brief The content of a version was read and checked. @return whether it is now in force
  bool PutInForce(const VersionId& aId);

  /// @brief The version in force.
  const VersionId& InForce() const { return mInForce; }

  /// @brief Highest version that this router heard of from anywhere.
  std::int64_t HighestKnown() const { return mHighestKnown; }

  /// @brief Whether the head was never read in this run, so that a newer version may exist.
  bool IsProvisional() const { return !mHeadSeen; }

  /// @brief Version of the last head record read; none before the first.
  std::optional<std::int64_t> StoreVersion() const { return mHeadSeen; }

  ConfigurationAlarm Alarm() const;

private:
  VersionCheckResult CheckVersion(const VersionId& aId);

  VersionId mInForce;
  std::int64_t mHighestKnown = 0;
  std::int64_t mForkedVersion = 0; ///< 0: none
  std::optional<std::int64_t> mHeadSeen;
  std::optional<TimePoint> mBehindSince;
  bool mStoreBehind = false;
};

} // namespace gentianloom

#endif
