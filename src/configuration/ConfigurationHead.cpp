#include "gentianloom/configuration/ConfigurationHead.h"

#include "gentianloom/base/JsonFields.h"

#include <ctime>

namespace gentianloom {

namespace {

constexpr std::size_t kVersionDigits = 12;

} // namespace

std::string SerializeHead(const ConfigurationHead& aHead)
{
  return Json{
    { "version", aHead.mVersion },        { "parent", aHead.mParent },
    { "digest", aHead.mDigest },          { "applyId", aHead.mApplyId },
    { "operator", aHead.mOperator },      { "action", aHead.mAction },
    { "timeMs", aHead.mWallTime.count() }
  }.dump();
}

Result<ConfigurationHead> ParseHead(std::string_view aText)
{
  const auto json = Json::parse(aText, nullptr, false);
  const bool isValid = json.is_object() && json.contains("version") &&
                       json["version"].is_number_integer() && json.contains("digest") &&
                       json["digest"].is_string();
  if (!isValid) {
    return MakeError(ErrorCode::Internal,
                     Step::ApplicationSpread,
                     "key-value service",
                     "a head record is malformed; apply a configuration again");
  }
  ConfigurationHead out;
  out.mVersion = json["version"].get<std::int64_t>();
  out.mParent = FindNumber(json, "parent").value_or(0);
  out.mDigest = json["digest"].get<std::string>();
  out.mApplyId = FindText(json, "applyId").value_or("");
  out.mOperator = FindText(json, "operator").value_or("");
  out.mAction = FindText(json, "action").value_or("apply");
  out.mWallTime = Millis(FindNumber(json, "timeMs").value_or(0));
  return out;
}

Json HeadToJson(const ConfigurationHead& aHead)
{
  return { { "version", aHead.mVersion },
           { "parent", aHead.mParent },
           { "digest", aHead.mDigest },
           { "applyId", aHead.mApplyId },
           { "operator", aHead.mOperator },
           { "action", aHead.mAction },
           { "time", FormatTime(aHead.mWallTime) } };
}

std::string MakeHistoryKey(std::int64_t aVersion)
{
  auto digits = std::to_string(aVersion);
  digits.insert(0, kVersionDigits - std::min(kVersionDigits, digits.size()), '0');
  return std::string(kHistoryPrefix) + digits;
}

std::string FormatTime(Millis aWallTime)
{
  const std::time_t n = std::chrono::duration_cast<std::chrono::seconds>(aWallTime).count();
  std::tm parts{};
  gmtime_r(&n, &parts);
  char buf[32];
  const auto length = std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return { buf, length };
}

} // namespace gentianloom
