#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_HEAD_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_HEAD_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/KeyValueStore.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianloom {

/// Keys of the configuration in the key-value service.
inline constexpr std::string_view kConfigurationPrefix = "/gentianloom/configuration/";
inline constexpr std::string_view kHeadKey = "/gentianloom/configuration/head";
inline constexpr std::string_view kChunkPrefix = "/gentianloom/configuration/chunks/";
inline constexpr std::string_view kHistoryPrefix = "/gentianloom/configuration/history/";
inline constexpr std::string_view kPendingPrefix = "/gentianloom/configuration/pending/";
inline constexpr std::string_view kSweepKey = "/gentianloom/configuration/sweep";

/// The head record, which names the newest accepted version. The history keeps a copy of the record
/// of each version.
struct ConfigurationHead
{
  std::int64_t mVersion = 0; ///< 0: no configuration was applied yet
  std::int64_t mParent = 0;  ///< the version that it replaced
  std::string mDigest;       ///< digest of the manifest
  std::string mApplyId; ///< identifies the apply, to determine its outcome if a response is lost
  std::string mOperator;
  std::string mAction; ///< `apply` or `rollback to N`
  Millis mWallTime{ 0 };
  Revision mModRevision = 0;   ///< revision of the record; not part of the stored text
  Revision mStoreRevision = 0; ///< revision of the service when read; not part of the stored text
};

/// @brief Serializes a record in its stored form.
std::string SerializeHead(const ConfigurationHead& aHead);

/// @brief Parses a stored record. @return the record, or ErrorCode::Internal if it is malformed
Result<ConfigurationHead> ParseHead(std::string_view aText);

/// @brief Writes a record for the administration API.
Json HeadToJson(const ConfigurationHead& aHead);

/// @brief Key of a version's history record; the keys sort by version.
std::string MakeHistoryKey(std::int64_t aVersion);

/// @brief Formats a wall time in UTC, for example `2026-12-03T23:00:00Z`.
std::string FormatTime(Millis aWallTime);

} // namespace gentianloom

#endif
