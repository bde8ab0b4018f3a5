#ifndef GENTIANLOOM_REPORT_BURN_REPORT_H
#define GENTIANLOOM_REPORT_BURN_REPORT_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/report/BurnRecorder.h"

#include <string>
#include <vector>

namespace gentianloom {

/// Counts of one instance since its start.
struct InstanceBurn
{
  std::string mInstance;
  std::int64_t mSeconds = 0; ///< time since its start
  ObjectivesSpec mObjectives{};
  std::map<BurnKey, BurnCounts> mCounts{};
};

/// Sum of the counts of all instances that responded.
struct BurnReport
{
  ObjectivesSpec mObjectives{};
  std::map<BurnKey, BurnCounts> mCounts{};
  std::vector<std::pair<std::string, std::int64_t>> mInstances{}; ///< name, seconds since its start
  std::vector<std::string> mMissingInstances{}; ///< instances without a valid response
};

/// @brief Converts an instance's counts to JSON for the administration API.
Json InstanceBurnToJson(const InstanceBurn& aBurn);

/// @brief Parses the output of InstanceBurnToJson(). @return the counts, or
/// ErrorCode::MalformedJson
Result<InstanceBurn> ParseInstanceBurn(const Json& aJson, std::string_view aPeer);

/// @brief Adds an instance's counts to a report.
void AddInstance(BurnReport& aReport, const InstanceBurn& aBurn);

/// @brief Formats the report as a text table.
std::string FormatBurnTable(const BurnReport& aReport);

/// @brief Converts the report to JSON, with burn rates.
Json BurnReportToJson(const BurnReport& aReport);

/// @brief Renders the report as a self-contained HTML page with plots.
std::string RenderBurnPage(const BurnReport& aReport);

} // namespace gentianloom

#endif
