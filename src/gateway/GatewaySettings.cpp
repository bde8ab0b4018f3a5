#include "gentianloom/gateway/GatewaySettings.h"

#include "gentianloom/net/HttpClient.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace gentianloom {

namespace {

using Json = nlohmann::json;

/// Reads keys of one settings file and collects an error for each invalid one.
class SettingsReader
{
public:
  SettingsReader(const Json& aJson, std::string_view aFileName, std::vector<Error>& aErrors)
    : mJson(aJson)
    , mFileName(aFileName)
    , mErrors(aErrors)
  {
  }

  std::string ReadText(const std::string& aKey)
  {
    const auto it = mJson.find(aKey);
    if (it == mJson.end()) {
      AddError(ErrorCode::MissingKey, aKey, "is missing; it must be a string");
      return {};
    }
    if (!it->is_string() || it->get<std::string>().empty()) {
      AddError(ErrorCode::WrongType, aKey, "must be a non-empty string");
      return {};
    }
    return it->get<std::string>();
  }

  std::string ReadAddress(const std::string& aKey)
  {
    auto out = ReadText(aKey);
    if (!out.empty() && !net::ParseSocketAddress(out)) {
      AddError(ErrorCode::OutOfRange, aKey, "must be an address IP:PORT, not \"" + out + "\"");
    }
    return out;
  }

  /// Accepts a number or a string with a number, since the platform's template fills in strings. An
  /// empty string keeps the default.
  double ReadNumber(const std::string& aKey, double aDefault, double aMin, double aMax)
  {
    const auto it = mJson.find(aKey);
    if (it == mJson.end()) {
      return aDefault;
    }
    const auto text = it->is_string() ? it->get<std::string>() : it->dump();
    if (text.empty()) {
      return aDefault;
    }
    double out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc() || end != text.data() + text.size()) {
      AddError(ErrorCode::WrongType, aKey, "must be a number, not " + it->dump());
      return aDefault;
    }
    if (out < aMin || out > aMax) {
      AddError(ErrorCode::OutOfRange,
               aKey,
               "must be between " + Json(aMin).dump() + " and " + Json(aMax).dump() + ", not " +
                 it->dump());
      return aDefault;
    }
    return out;
  }

  /// An empty string, which the platform's template may leave, keeps the default.
  EvenLoadMode ReadEvenLoad(const std::string& aKey)
  {
    const auto it = mJson.find(aKey);
    if (it == mJson.end() || *it == "") {
      return EvenLoadMode::ByReports;
    }
    if (*it == "on") {
      return EvenLoadMode::On;
    }
    if (*it != "off") {
      AddError(ErrorCode::OutOfRange, aKey, "must be \"on\" or \"off\", not " + it->dump());
      return EvenLoadMode::ByReports;
    }
    return EvenLoadMode::Off;
  }

  /// Reads an object whose values are names. A missing, empty or null value is an empty table.
  /// @param aSkipped gets an error for each item whose value is no name
  std::map<std::string, std::string, std::less<>> ReadTable(const std::string& aKey,
                                                            std::vector<Error>& aSkipped)
  {
    std::map<std::string, std::string, std::less<>> out;
    const auto it = mJson.find(aKey);
    if (it == mJson.end() || it->is_null() || *it == "") {
      return out;
    }
    if (!it->is_object()) {
      AddError(ErrorCode::WrongType, aKey, "must be an object whose values are names");
      return out;
    }
    for (const auto& [name, value] : it->items()) {
      if (value.is_string() && !value.get_ref<const std::string&>().empty()) {
        out[name] = value.get<std::string>();
      } else {
        aSkipped.push_back(DescribeError(
          ErrorCode::WrongType, aKey, "must have a name for \"" + name + "\", which is skipped"));
      }
    }
    return out;
  }

private:
  Error DescribeError(ErrorCode aCode, const std::string& aKey, const std::string& aText) const
  {
    return MakeError(
      aCode, Step::Settings, mFileName, std::string(mFileName) + ": \"" + aKey + "\" " + aText);
  }

  void AddError(ErrorCode aCode, const std::string& aKey, const std::string& aText)
  {
    mErrors.push_back(DescribeError(aCode, aKey, aText));
  }

  const Json& mJson;
  std::string_view mFileName;
  std::vector<Error>& mErrors;
};

Millis ToMillis(double aMillis)
{
  return Millis(static_cast<std::int64_t>(aMillis));
}

constexpr double kMillisPerSecond = 1'000;
constexpr double kMaxSeconds = 3'600;
/// Default of a number without which the platform has no rule.
constexpr double kNotStated = -1;
constexpr double kMaxWarmUpBound = 1e6;
constexpr double kMinMemoryMb = 16;
constexpr double kMinLinkMbps = 0.1;
constexpr double kMaxLinkMbps = 1e7;
constexpr double kMaxMemoryMb = 1e7;
constexpr double kMinDescriptors = 64;
constexpr double kMaxDescriptors = 1e7;

} // namespace

ParsedGatewaySettings ParseGatewaySettings(std::string_view aText, std::string_view aFileName)
{
  ParsedGatewaySettings out;
  Json json;
  try {
    json = Json::parse(aText, nullptr, true, true);
  } catch (const Json::exception& ex) {
    out.mErrors.push_back(MakeError(ErrorCode::MalformedJson,
                                    Step::Settings,
                                    aFileName,
                                    std::string(aFileName) + " is not valid JSON: " + ex.what()));
    return out;
  }
  if (!json.is_object()) {
    out.mErrors.push_back(MakeError(ErrorCode::WrongType,
                                    Step::Settings,
                                    aFileName,
                                    std::string(aFileName) + " must contain a single JSON object"));
    return out;
  }
  SettingsReader reader(json, aFileName, out.mErrors);
  auto& it = out.mSettings;
  it.mInstance = reader.ReadText("instance");
  it.mZone = reader.ReadText("availability_zone");
  it.mCallerAddress = reader.ReadAddress("caller_address");
  it.mReadinessAddress = reader.ReadAddress("readiness_address");
  it.mDirectoryAddress = reader.ReadAddress("directory_address");
  it.mStoreAddress = reader.ReadAddress("store_address");
  if (json.contains("peer_address")) {
    it.mPeerAddress = reader.ReadAddress("peer_address");
  }
  if (json.contains("metrics_address")) {
    it.mMetricsAddress = reader.ReadAddress("metrics_address");
  }
  const auto gracePeriod = reader.ReadNumber("leave_time_s", 8, 1, kMaxSeconds);
  it.mTerminationGracePeriod = ToMillis(gracePeriod * kMillisPerSecond);
  const auto ttl = reader.ReadNumber("address_life_s", 1, 0.1, kMaxSeconds);
  it.mAddressTtl = ToMillis(ttl * kMillisPerSecond);
  const auto window = reader.ReadNumber("rights_window_s", 10, 0.1, kMaxSeconds);
  it.mRightsDemandWindow = ToMillis(window * kMillisPerSecond);
  it.mStoreWritesPerSecond =
    reader.ReadNumber("store_writes_per_s", it.mStoreWritesPerSecond, 1, 1e9);
  it.mRetryShare = reader.ReadNumber("retry_share", it.mRetryShare, 0, 10);
  it.mRetrySlack = reader.ReadNumber("retry_slack", it.mRetrySlack, 0, 1e9);
  const auto overage = reader.ReadNumber("cold_overage", kNotStated, 0, kMaxWarmUpBound);
  const auto slack = reader.ReadNumber("cold_slack", kNotStated, 0, kMaxWarmUpBound);
  if (overage != kNotStated && slack != kNotStated) {
    it.mWarmUpBound = WarmUpBound{ overage, slack };
  }
  it.mEvenLoad = reader.ReadEvenLoad("even_load");
  it.mMemoryMb = reader.ReadNumber("memory_mb", 0, kMinMemoryMb, kMaxMemoryMb);
  it.mLinkMbps = reader.ReadNumber("link_mbps", 0, kMinLinkMbps, kMaxLinkMbps);
  it.mMaxDescriptors = reader.ReadNumber("max_fds", 0, kMinDescriptors, kMaxDescriptors);
  it.mRegionOfZone = reader.ReadTable("zones", out.mSkipped);
  return out;
}

} // namespace gentianloom
