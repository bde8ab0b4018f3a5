#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/EngineControl.h"
#include "gentianloom/external/HttpCall.h"

#include <algorithm>
#include <optional>

namespace gentianloom {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusConflict = 409;

EngineState ParseState(const std::string& aText)
{
  if (aText == "loading") {
    return EngineState::Loading;
  }
  return aText == "failed" ? EngineState::Failed : EngineState::Ready;
}

/// Parses a status; nothing if a field has another type, since the engine's state is not known
/// then.
std::optional<EngineStatus> ParseStatus(const std::string& aText)
{
  try {
    const auto json = Json::parse(aText);
    EngineStatus out;
    out.mTarget = { json.value("model", ""),
                    json.value("version", ""),
                    json.value("adapters", std::vector<std::string>()),
                    json.value("role", "both") };
    std::sort(out.mTarget.mAdapters.begin(), out.mTarget.mAdapters.end());
    out.mState = ParseState(json.value("state", "ready"));
    out.mReason = json.value("reason", "");
    out.mConfigurationVersion = json.value("configuration_version", std::int64_t{ 0 });
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace

Result<EngineStatus> HttpEngineControl::Observe(const std::string& aAddress)
{
  const auto answer = CallHttp(aAddress, { "GET", "/control" }, mTimeout, Step::OrderVerify);
  if (!answer) {
    return answer.error().mError;
  }
  auto out = answer.value().mStatus == kStatusOk ? ParseStatus(answer.value().mBody) : std::nullopt;
  if (!out) {
    return MakeError(ErrorCode::PlatformUnavailable,
                     Step::OrderVerify,
                     aAddress,
                     "the engine did not return its status at /control");
  }
  return std::move(*out);
}

OrderResult HttpEngineControl::Send(const std::string& aAddress, const EngineOrder& aOrder)
{
  const Json body = { { "model", aOrder.mTarget.mModel },
                      { "version", aOrder.mTarget.mVersion },
                      { "adapters", aOrder.mTarget.mAdapters },
                      { "role", aOrder.mTarget.mRole },
                      { "configuration_version", aOrder.mConfigurationVersion },
                      { "fencing", aOrder.mFencingToken } };
  const auto answer =
    CallHttp(aAddress, { "PUT", "/control", body.dump() }, mTimeout, Step::OrderSend);
  if (answer && answer.value().mStatus == kStatusAccepted) {
    return OrderResult::Accepted;
  }
  return answer && answer.value().mStatus == kStatusConflict ? OrderResult::Rejected
                                                             : OrderResult::Unknown;
}

} // namespace gentianloom
