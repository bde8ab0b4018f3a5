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

/// The head record: which version is accepted. History keeps a copy of each.
struct ConfigurationHead
{
  std::int64_t mVersion = 0; ///< 0: nothing was applied yet
  std::int64_t mParent = 0;  ///< version that it was built on
  std::string mDigest;       ///< of the manifest
  std::string mApplyId;      ///< names the writer, so that a lost answer can be resolved
  std::string mOperator;
  std::string mAction; ///< `apply` or `rollback to N`
  Millis mWallTime{ 0 };
  Revision mModRevision = 0;   ///< of the record; not part of its text
  Revision mStoreRevision = 0; ///< of the whole service at the read; not part of its text
};

/// @brief Text of the record as stored.
std::string SerializeHead(const ConfigurationHead& aHead);

/// @brief Reads a record. @return ErrorCode::Internal if it is not one
Result<ConfigurationHead> ParseHead(std::string_view aText);

/// @brief The record for operators.
Json HeadToJson(const ConfigurationHead& aHead);

/// @brief Key of a version's history record; keys sort by version.
std::string MakeHistoryKey(std::int64_t aVersion);

/// @brief UTC time for people, for example `2026-12-03T23:00:00Z`.
std::string FormatTime(Millis aWallTime);

} // namespace gentianloom

#endif
