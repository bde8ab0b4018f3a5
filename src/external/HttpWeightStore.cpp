#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"
#include "gentianloom/external/WeightStore.h"

namespace gentianloom {

namespace {

constexpr int kTooMany = 429;
constexpr std::int64_t kComeBackMs = 1'000;

} // namespace

Result<void> HttpWeightStore::RequestPermit(const std::string& aWeights)
{
  if (mAddress.empty()) {
    return success();
  }
  const Json body = { { "weights", aWeights } };
  const auto answer =
    CallHttp(mAddress, { "POST", "/permits", body.dump() }, mTimeout, Step::OrderSend);
  if (!answer) {
    return answer.error().mError;
  }
  if (answer.value().mStatus == 200) {
    return success();
  }
  const auto json = Json::parse(answer.value().mBody, nullptr, false);
  const bool limited = answer.value().mStatus == kTooMany;
  auto error = MakeError(limited ? ErrorCode::Overloaded : ErrorCode::PlatformUnavailable,
                         Step::OrderSend,
                         mAddress,
                         limited ? "the weight store limits loading; it is asked again when it says"
                                 : "the weight store gives no permit for " + aWeights);
  error.mRetryAfter =
    Millis(json.is_object() ? json.value("retry_after_ms", kComeBackMs) : kComeBackMs);
  return error;
}

} // namespace gentianloom
