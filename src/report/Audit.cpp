#include "gentianloom/report/Audit.h"

#include "gentianloom/base/JsonFields.h"
#include "gentianloom/configuration/ConfigurationHead.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::string_view kAuditPrefix = "/gentianloom/audit/";

} // namespace

Write MakeAuditWrite(const AuditEntry& aEntry, std::int64_t aSequence)
{
  const Json json = { { "timeMs", aEntry.mWallTime.count() },
                      { "operator", aEntry.mOperator },
                      { "area", aEntry.mArea },
                      { "action", aEntry.mAction },
                      { "text", aEntry.mText } };
  return { std::string(kAuditPrefix) + aEntry.mArea + "/" + std::to_string(aSequence % kAuditSlots),
           json.dump() };
}

Result<std::vector<AuditEntry>> ReadAudit(KeyValueStore& aStore)
{
  BOOST_OUTCOME_TRY(answer, aStore.Range(kAuditPrefix, true, Step::ApplicationCheck));
  std::vector<AuditEntry> out;
  for (const auto& it : answer.mEntries) {
    const auto json = Json::parse(it.mValue, nullptr, false);
    const auto time = FindNumber(json, "timeMs");
    if (!time) {
      continue;
    }
    out.push_back({ Millis(*time),
                    FindText(json, "operator").value_or(""),
                    FindText(json, "area").value_or(""),
                    FindText(json, "action").value_or(""),
                    FindText(json, "text").value_or("") });
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mWallTime < aRight.mWallTime;
  });
  return out;
}

Json AuditToJson(const AuditEntry& aEntry)
{
  return { { "time", FormatTime(aEntry.mWallTime) },
           { "operator", aEntry.mOperator },
           { "area", aEntry.mArea },
           { "action", aEntry.mAction },
           { "text", aEntry.mText } };
}

} // namespace gentianloom
