#include "gentianloom/report/BurnReport.h"

#include <cstdio>

namespace gentianloom {

namespace {

double ComputeRate(const BurnReport& aReport,
                   const BurnCounts& aCounts,
                   std::size_t aWindow,
                   std::size_t aObjective)
{
  return BurnRate(aCounts[aWindow][aObjective],
                  AllowedShare(aReport.mObjectives, static_cast<Objective>(aObjective)));
}

std::string FormatRate(double aRate)
{
  char buf[32];
  const int n = std::snprintf(buf, sizeof(buf), "%.2f", aRate);
  return { buf, static_cast<std::size_t>(n) };
}

std::string PadRight(std::string aText, std::size_t aWidth)
{
  aText.resize(std::max(aWidth, aText.size() + 1), ' ');
  return aText;
}

Json CountsToJson(const BurnCounts& aCounts)
{
  Json out = Json::object();
  for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
    for (std::size_t n = 0; n < kObjectiveCount; ++n) {
      const auto& it = aCounts[window][n];
      out[kBurnWindows[window].mName][kObjectiveNames[n]] = { it.mRequests, it.mMissed };
    }
  }
  return out;
}

Result<BurnCounts> ParseCounts(const Json& aJson, std::string_view aPeer)
{
  BurnCounts out{};
  for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
    for (std::size_t n = 0; n < kObjectiveCount; ++n) {
      const auto pointer = Json::json_pointer("/" + std::string(kBurnWindows[window].mName) + "/" +
                                              std::string(kObjectiveNames[n]));
      const bool isValid = aJson.contains(pointer) && aJson[pointer].is_array() &&
                           aJson[pointer].size() == 2 && aJson[pointer][0].is_number_unsigned() &&
                           aJson[pointer][1].is_number_unsigned();
      if (!isValid) {
        return MakeError(ErrorCode::MalformedJson,
                         Step::RequestSettle,
                         aPeer,
                         "the counts lack " + pointer.to_string() +
                           "; the instance may run another release");
      }
      out[window][n] = { aJson[pointer][0].get<std::uint64_t>(),
                         aJson[pointer][1].get<std::uint64_t>() };
    }
  }
  return out;
}

Json ObjectivesToJson(const ObjectivesSpec& aObjectives)
{
  return { { "firstTokenMs", aObjectives.mFirstTokenMs },
           { "betweenTokensMs", aObjectives.mBetweenTokensMs },
           { "shareWithin", aObjectives.mLatencyTargetShare },
           { "answeredInDeadline", aObjectives.mDeadlineTargetShare },
           { "wrongRefusals", aObjectives.mMaxWrongRefusalShare } };
}

ObjectivesSpec ParseObjectives(const Json& aJson)
{
  ObjectivesSpec out;
  out.mFirstTokenMs = aJson.value("firstTokenMs", out.mFirstTokenMs);
  out.mBetweenTokensMs = aJson.value("betweenTokensMs", out.mBetweenTokensMs);
  out.mLatencyTargetShare = aJson.value("shareWithin", out.mLatencyTargetShare);
  out.mDeadlineTargetShare = aJson.value("answeredInDeadline", out.mDeadlineTargetShare);
  out.mMaxWrongRefusalShare = aJson.value("wrongRefusals", out.mMaxWrongRefusalShare);
  return out;
}

} // namespace

Json InstanceBurnToJson(const InstanceBurn& aBurn)
{
  Json rows = Json::array();
  for (const auto& [key, counts] : aBurn.mCounts) {
    rows.push_back({ { "organisation", key.first },
                     { "service", key.second },
                     { "counts", CountsToJson(counts) } });
  }
  return { { "instance", aBurn.mInstance },
           { "seconds", aBurn.mSeconds },
           { "objectives", ObjectivesToJson(aBurn.mObjectives) },
           { "rows", rows } };
}

Result<InstanceBurn> ParseInstanceBurn(const Json& aJson, std::string_view aPeer)
{
  if (!aJson.is_object() || !aJson.contains("rows") || !aJson["rows"].is_array()) {
    return MakeError(
      ErrorCode::MalformedJson, Step::RequestSettle, aPeer, "the response is not a burn report");
  }
  InstanceBurn out;
  out.mInstance = aJson.value("instance", std::string(aPeer));
  out.mSeconds = aJson.value("seconds", std::int64_t{ 0 });
  out.mObjectives = ParseObjectives(aJson.value("objectives", Json::object()));
  for (const auto& it : aJson["rows"]) {
    BOOST_OUTCOME_TRY(counts, ParseCounts(it.value("counts", Json::object()), aPeer));
    out.mCounts[{ it.value("organisation", ""), it.value("service", "") }] = counts;
  }
  return out;
}

void AddInstance(BurnReport& aReport, const InstanceBurn& aBurn)
{
  if (aReport.mInstances.empty()) {
    aReport.mObjectives = aBurn.mObjectives;
  }
  aReport.mInstances.emplace_back(aBurn.mInstance, aBurn.mSeconds);
  for (const auto& [key, counts] : aBurn.mCounts) {
    auto& sum = aReport.mCounts[key];
    for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
      for (std::size_t n = 0; n < kObjectiveCount; ++n) {
        sum[window][n].mRequests += counts[window][n].mRequests;
        sum[window][n].mMissed += counts[window][n].mMissed;
      }
    }
  }
}

std::string FormatBurnTable(const BurnReport& aReport)
{
  constexpr std::size_t kNameWidth = 24;
  constexpr std::size_t kCellWidth = 10;
  std::string out = PadRight("organisation", kNameWidth) + PadRight("service", kNameWidth) +
                    PadRight("objective", kNameWidth);
  for (const auto& it : kBurnWindows) {
    out += PadRight(std::string(it.mName), kCellWidth);
  }
  out += "(burn rate; 1 uses up the error budget)\n";
  for (const auto& [key, counts] : aReport.mCounts) {
    for (std::size_t n = 0; n < kObjectiveCount; ++n) {
      out += PadRight(key.first, kNameWidth) + PadRight(key.second, kNameWidth) +
             PadRight(std::string(kObjectiveNames[n]), kNameWidth);
      for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
        const bool isEmpty = counts[window][n].mRequests == 0;
        out +=
          PadRight(isEmpty ? "-" : FormatRate(ComputeRate(aReport, counts, window, n)), kCellWidth);
      }
      out += "\n";
    }
  }
  out += "instances: " + std::to_string(aReport.mInstances.size());
  for (const auto& it : aReport.mMissingInstances) {
    out += "; no response from " + it;
  }
  return out + "\n";
}

Json BurnReportToJson(const BurnReport& aReport)
{
  Json rows = Json::array();
  for (const auto& [key, counts] : aReport.mCounts) {
    Json rates = Json::object();
    for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
      for (std::size_t n = 0; n < kObjectiveCount; ++n) {
        rates[kBurnWindows[window].mName][kObjectiveNames[n]] =
          ComputeRate(aReport, counts, window, n);
      }
    }
    rows.push_back({ { "organisation", key.first },
                     { "service", key.second },
                     { "counts", CountsToJson(counts) },
                     { "burn", rates } });
  }
  Json instances = Json::array();
  for (const auto& it : aReport.mInstances) {
    instances.push_back({ { "instance", it.first }, { "seconds", it.second } });
  }
  return { { "objectives", ObjectivesToJson(aReport.mObjectives) },
           { "rows", rows },
           { "instances", instances },
           { "silent", aReport.mMissingInstances } };
}

} // namespace gentianloom
