#include "gentianloom/base/JsonFields.h"
#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"
#include "gentianloom/external/WeightStore.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr int kStatusTooManyRequests = 429;
constexpr std::int64_t kDefaultRetryAfterMs = 1'000;
constexpr std::int64_t kMaxRetryAfterMs = 3'600'000;

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
  const bool isLimited = answer.value().mStatus == kStatusTooManyRequests;
  auto error = MakeError(
    isLimited ? ErrorCode::Overloaded : ErrorCode::PlatformUnavailable,
    Step::OrderSend,
    mAddress,
    isLimited ? "the weight store limits loading; the request is retried after the time it returned"
              : "the weight store did not grant a permit for " + aWeights);
  const auto retryAfter = FindNumber(json, "retry_after_ms").value_or(kDefaultRetryAfterMs);
  error.mRetryAfter = Millis(std::min(retryAfter, kMaxRetryAfterMs));
  return error;
}

} // namespace gentianloom
