#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_VERSION_TRACKER_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_VERSION_TRACKER_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gentianloom {

/// Identifies one accepted configuration.
struct VersionId
{
  std::int64_t mVersion = 0; ///< 0: none
  std::string mDigest{};

  bool operator==(const VersionId&) const = default;
};

/// How a version that was read or reported compares with the one in force.
enum class VersionCheckResult : std::uint8_t
{
  Newer,  ///< may be put in force
  Same,   ///< is in force already
  Older,  ///< is ignored
  Forked, ///< same number with other content: is ignored, and raises an alarm
};

/// A condition that operators must look at.
enum class ConfigurationAlarm : std::uint8_t
{
  None,
  StoreBehind, ///< the key-value service keeps returning an older version
  Forked       ///< two different configurations have the same version number
};

/// @brief Stable name of an alarm, for status, metrics and logs.
std::string_view ToString(ConfigurationAlarm aAlarm);

/**
 * @brief Decides which configuration version is in force on a router. Does no I/O and reads no
 * clock.
 *
 * The version in force only increases, whatever the key-value service or peers report. Reads of the
 * service may be stale for a short time; if they stay behind for kStaleReadGracePeriod, the service
 * was probably restored from an older backup, which raises an alarm. The next apply uses a version
 * above HighestKnown(), which ends the alarm.
 *
 * Until the head record was read once since the start, a version from a peer is provisional, since
 * a newer one may have been accepted. A router with a provisional version serves requests, but
 * sends no control orders to endpoints.
 */
class ConfigurationVersionTracker
{
public:
  /// How long reads of the service may return an older version before the alarm is raised.
  static constexpr Millis kStaleReadGracePeriod{ 5'000 };

  /// @brief Handles a read of the head record; version 0 if there is none.
  VersionCheckResult OnHead(const VersionId& aHead, TimePoint aNow);

  /// @brief Handles a peer's report of its version in force.
  VersionCheckResult OnPeerVersion(const VersionId& aId);

  /// @brief Puts a version in force if it is newer; its content must have been read and checked.
  /// @return whether the version was put in force
  bool PutInForce(const VersionId& aId);

  /// @brief The version in force.
  const VersionId& InForce() const { return mInForce; }

  /// @brief The highest version that this router read or that a peer reported.
  std::int64_t HighestKnown() const { return mHighestKnown; }

  /// @brief Whether the head was not read since the start, so that a newer version may exist.
  bool IsProvisional() const { return !mStoreVersion; }

  /// @brief Version of the last head record read; none before the first read.
  std::optional<std::int64_t> StoreVersion() const { return mStoreVersion; }

  ConfigurationAlarm Alarm() const;

private:
  VersionCheckResult CheckVersion(const VersionId& aId);

  VersionId mInForce;
  std::int64_t mHighestKnown = 0;
  std::int64_t mForkedVersion = 0; ///< 0: none
  std::optional<std::int64_t> mStoreVersion;
  std::optional<TimePoint> mStoreBehindSince;
  bool mIsStoreBehind = false;
};

} // namespace gentianloom

#endif
