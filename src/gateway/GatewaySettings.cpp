#include "gentianloom/gateway/GatewaySettings.h"

#include "gentianloom/net/HttpClient.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace gentianloom {

namespace {

using Json = nlohmann::json;

/// Reads keys of one settings file and gathers what is wrong with them.
class Reader
{
public:
  Reader(const Json& aJson, std::string_view aPlace, std::vector<Error>& aErrors)
    : mJson(aJson)
    , mPlace(aPlace)
    , mErrors(aErrors)
  {
  }

  std::string Text(const std::string& aKey)
  {
    const auto it = mJson.find(aKey);
    if (it == mJson.end()) {
      Complain(ErrorCode::MissingKey, aKey, "is missing; add it as text");
      return {};
    }
    if (!it->is_string() || it->get<std::string>().empty()) {
      Complain(ErrorCode::WrongType, aKey, "must be a text that is not empty");
      return {};
    }
    return it->get<std::string>();
  }

  std::string Address(const std::string& aKey)
  {
    auto out = Text(aKey);
    if (!out.empty() && !net::ParseSocketAddress(out)) {
      Complain(ErrorCode::OutOfRange, aKey, "must be an address, IP:PORT, and is \"" + out + "\"");
    }
    return out;
  }

  /// Numbers may be written as text, since a template fills them in; an empty one keeps the
  /// default.
  double Number(const std::string& aKey, double aDefault, double aLeast, double aMost)
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
      Complain(ErrorCode::WrongType, aKey, "must be a number and is " + it->dump());
      return aDefault;
    }
    if (out < aLeast || out > aMost) {
      Complain(ErrorCode::OutOfRange,
               aKey,
               "must be from " + Json(aLeast).dump() + " to " + Json(aMost).dump() + " and is " +
                 it->dump());
      return aDefault;
    }
    return out;
  }

private:
  void Complain(ErrorCode aCode, const std::string& aKey, const std::string& aText)
  {
    mErrors.push_back(MakeError(
      aCode, Step::Settings, mPlace, std::string(mPlace) + ": \"" + aKey + "\" " + aText));
  }

  const Json& mJson;
  std::string_view mPlace;
  std::vector<Error>& mErrors;
};

Millis MillisOf(double aMillis)
{
  return Millis(static_cast<std::int64_t>(aMillis));
}

constexpr double kMillisPerSecond = 1'000;
constexpr double kMostSeconds = 3'600;

} // namespace

ParsedGatewaySettings ParseGatewaySettings(std::string_view aText, std::string_view aPlace)
{
  ParsedGatewaySettings out;
  Json json;
  try {
    json = Json::parse(aText, nullptr, true, true);
  } catch (const Json::exception& ex) {
    out.mErrors.push_back(MakeError(ErrorCode::MalformedJson,
                                    Step::Settings,
                                    aPlace,
                                    std::string(aPlace) + " is no JSON: " + ex.what()));
    return out;
  }
  if (!json.is_object()) {
    out.mErrors.push_back(MakeError(ErrorCode::WrongType,
                                    Step::Settings,
                                    aPlace,
                                    std::string(aPlace) + " must hold one JSON object"));
    return out;
  }
  Reader reader(json, aPlace, out.mErrors);
  auto& it = out.mSettings;
  it.mInstance = reader.Text("instance");
  it.mZone = reader.Text("availability_zone");
  it.mCallerAddress = reader.Address("caller_address");
  it.mReadinessAddress = reader.Address("readiness_address");
  it.mDirectoryAddress = reader.Address("directory_address");
  it.mStoreAddress = reader.Address("store_address");
  if (json.contains("peer_address")) {
    it.mPeerAddress = reader.Address("peer_address");
  }
  if (json.contains("metrics_address")) {
    it.mMetricsAddress = reader.Address("metrics_address");
  }
  const auto leave = reader.Number("leave_time_s", 8, 1, kMostSeconds);
  it.mLeaveTime = MillisOf(leave * kMillisPerSecond);
  const auto life = reader.Number("address_life_s", 1, 0.1, kMostSeconds);
  it.mAddressLife = MillisOf(life * kMillisPerSecond);
  const auto window = reader.Number("rights_window_s", 10, 0.1, kMostSeconds);
  it.mRightsWindow = MillisOf(window * kMillisPerSecond);
  it.mStoreWrites = reader.Number("store_writes_per_s", it.mStoreWrites, 1, 1e9);
  it.mRetryShare = reader.Number("retry_share", it.mRetryShare, 0, 10);
  it.mRetrySlack = reader.Number("retry_slack", it.mRetrySlack, 0, 1e9);
  return out;
}

} // namespace gentianloom
