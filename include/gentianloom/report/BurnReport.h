#ifndef GENTIANLOOM_REPORT_BURN_REPORT_H
#define GENTIANLOOM_REPORT_BURN_REPORT_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/report/BurnRecorder.h"

#include <string>
#include <vector>

namespace gentianloom {

/// What one instance counted since it started.
struct InstanceBurn
{
  std::string mInstance;
  std::int64_t mSeconds = 0; ///< how long it has been counting
  ObjectivesSpec mObjectives{};
  std::map<BurnKey, BurnCounts> mCounts{};
};

/// Counts of all instances that answered.
struct BurnReport
{
  ObjectivesSpec mObjectives{};
  std::map<BurnKey, BurnCounts> mCounts{};
  std::vector<std::pair<std::string, std::int64_t>> mInstances{}; ///< name, seconds counted
  std::vector<std::string> mMissingInstances{};                   ///< instances without an answer
};

/// @brief Writes an instance's counts for the administration API.
Json InstanceBurnToJson(const InstanceBurn& aBurn);

/// @brief Reads them. @return ErrorCode::MalformedJson if they are not readable
Result<InstanceBurn> ParseInstanceBurn(const Json& aJson, std::string_view aPeer);

/// @brief Adds an instance's counts to a report.
void AddInstance(BurnReport& aReport, const InstanceBurn& aBurn);

/// @brief The report as a table for people.
std::string FormatBurnTable(const BurnReport& aReport);

/// @brief The report as JSON, with burn rates.
Json BurnReportToJson(const BurnReport& aReport);

/// @brief The report as one HTML page with plots; it refers to no other file.
std::string RenderBurnPage(const BurnReport& aReport);

} // namespace gentianloom

#endif
