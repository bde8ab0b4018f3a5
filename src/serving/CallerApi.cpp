#include "gentianloom/serving/CallerApi.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/serving/ChatRelay.h"
#include "gentianloom/serving/ChatRequest.h"
#include "gentianloom/serving/EngineRequests.h"
#include "gentianloom/serving/HttpMessages.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <charconv>

namespace gentianloom {

namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr Millis kShutdownRetryAfter{ 100 };

std::optional<std::int64_t> ParsePositiveNumber(const std::string& aText)
{
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  const bool isValid = ec == std::errc() && end == aText.data() + aText.size() && n > 0;
  return isValid ? std::optional(n) : std::nullopt;
}

Millis ReadDeadline(const Poco::Net::HTTPServerRequest& aRequest, Millis aDefault)
{
  const auto n = ParsePositiveNumber(aRequest.get("Gentianloom-Deadline-Ms", ""));
  return n ? Millis(*n) : aDefault;
}

} // namespace

CallerApi::CallerApi(Pipeline& aPipeline,
                     IntentCoordinator& aIntents,
                     AttemptObserver& aObserver,
                     ConfigurationSource aConfiguration,
                     const Settings& aSettings,
                     const Clock& aClock,
                     Metrics& aMetrics)
  : mPipeline(aPipeline)
  , mConfiguration(std::move(aConfiguration))
  , mSettings(aSettings)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mDependencies{ aPipeline, aIntents,           mRetryBudget, mEchoingEngines,
                   aObserver, aSettings.mServing, aClock,       aMetrics }
{
}

void CallerApi::Handle(Poco::Net::HTTPServerRequest& aRequest,
                       Poco::Net::HTTPServerResponse& aResponse)
{
  const auto& uri = aRequest.getURI();
  const bool isExchange = uri == "/v1/chat/completions" || uri.starts_with(kServicesPrefix);
  if (isExchange && RejectIfShuttingDown(aResponse)) {
    return;
  }
  if (uri == "/v1/chat/completions" && aRequest.getMethod() == "POST") {
    HandleChat(aRequest, aResponse);
  } else if (uri == "/v1/models" && aRequest.getMethod() == "GET") {
    HandleModels(aResponse);
  } else if (uri == "/v1/entry-points" && aRequest.getMethod() == "GET") {
    HandleEntryPoints(aRequest, aResponse);
  } else if (uri.starts_with(kServicesPrefix)) {
    HandleService(aRequest, aResponse);
  } else {
    SendError(
      aResponse,
      MakeError(ErrorCode::UnknownPath,
                Step::RequestAccept,
                "caller",
                aRequest.getMethod() + " " + uri + " is not part of the API; see the README"),
      Outcome::NotRun);
  }
}

bool CallerApi::RejectIfShuttingDown(Poco::Net::HTTPServerResponse& aResponse) const
{
  if (!mRejectsNewRequests) {
    return false;
  }
  auto error = MakeError(ErrorCode::Leaving,
                         Step::DrainServe,
                         "self",
                         "this router is shutting down; send the request to another router, see "
                         "GET /v1/entry-points");
  error.mRetryAfter = kShutdownRetryAfter;
  aResponse.setKeepAlive(false);
  SendError(aResponse, error, Outcome::NotRun);
  return true;
}

ExchangePtr CallerApi::MakeExchange(Poco::Net::HTTPServerRequest& aRequest,
                                    Poco::Net::HTTPServerResponse& aResponse)
{
  auto exchange = std::make_shared<Exchange>();
  exchange->mArrived = mClock.Now();
  exchange->mDeadline =
    exchange->mArrived + ReadDeadline(aRequest, mSettings.mServing.mDefaultDeadline);
  exchange->mRequestId = aRequest.get("X-Request-Id", "");
  if (exchange->mRequestId.empty()) {
    exchange->mRequestId = MakeId("req");
  }
  exchange->mIdempotencyKey = aRequest.get("Idempotency-Key", "");
  exchange->mResumeEndpoint = aRequest.get(kResumeHeader, "");
  exchange->mResumeAfter = ParsePositiveNumber(aRequest.get("Last-Event-ID", "")).value_or(0);
  exchange->mBearerKey = ReadBearerKey(aRequest);
  exchange->mMethod = aRequest.getMethod();
  exchange->mContentType = aRequest.getContentType();
  aResponse.set("X-Request-Id", exchange->mRequestId);
  if (!exchange->mIdempotencyKey.empty()) {
    aResponse.set("Idempotency-Key", exchange->mIdempotencyKey);
  }
  return exchange;
}

void CallerApi::HandleChat(Poco::Net::HTTPServerRequest& aRequest,
                           Poco::Net::HTTPServerResponse& aResponse)
{
  auto exchange = MakeExchange(aRequest, aResponse);
  auto body = ReadBody(aRequest, mSettings.mServing.mMaxBodyBytes);
  if (!body) {
    SendError(aResponse, body.error(), Outcome::NotRun);
    return;
  }
  auto chat = ParseChatRequest(body.value());
  if (!chat) {
    SendError(aResponse, chat.error(), Outcome::NotRun);
    return;
  }
  exchange->mModel = chat.value().mModel;
  exchange->mIsStreaming = chat.value().mIsStreaming;
  exchange->mPromptBound = chat.value().mPromptBound;
  exchange->mOutputBound = chat.value().mOutputBound;
  exchange->mBody = std::move(chat.value().mEngineBody);
  const auto rejection = mPipeline.Admit(exchange);
  if (rejection) {
    SendError(aResponse, *rejection, Outcome::NotRun);
    return;
  }
  ChatRelay relay(exchange, mDependencies, aRequest, aResponse);
  relay.Run();
  CountOutcome(*exchange);
  mPipeline.Finish(exchange);
}

void CallerApi::CountOutcome(const Exchange& aExchange)
{
  mMetrics
    .CounterOf("gentianloom_outcomes_total",
               "outcome=\"" + std::string(ToString(aExchange.mOutcome)) + "\"")
    .Add();
}

void CallerApi::HandleService(Poco::Net::HTTPServerRequest& aRequest,
                              Poco::Net::HTTPServerResponse& aResponse)
{
  auto exchange = MakeExchange(aRequest, aResponse);
  exchange->mKind = ExchangeKind::Service;
  const auto rest = aRequest.getURI().substr(kServicesPrefix.size());
  const auto slash = rest.find('/');
  exchange->mService = rest.substr(0, slash);
  exchange->mPath = slash == std::string::npos ? "/" : rest.substr(slash);
  auto body = ReadBody(aRequest, mSettings.mServing.mMaxBodyBytes);
  if (!body) {
    SendError(aResponse, body.error(), Outcome::NotRun);
    return;
  }
  const auto rejection = mPipeline.Admit(exchange);
  if (rejection) {
    SendError(aResponse, *rejection, Outcome::NotRun);
    return;
  }
  ServiceRelay relay(exchange, mDependencies, aResponse);
  relay.Run(std::move(body.value()));
  CountOutcome(*exchange);
  mPipeline.Finish(exchange);
}

void CallerApi::HandleModels(Poco::Net::HTTPServerResponse& aResponse)
{
  Json list = Json::array();
  const auto configuration = mConfiguration();
  if (configuration) {
    for (const auto& it : configuration->Spec().mModels) {
      list.push_back({ { "id", it.mName }, { "object", "model" }, { "version", it.mVersion } });
    }
  }
  SendJson(aResponse, 200, { { "object", "list" }, { "data", list } });
}

void CallerApi::HandleEntryPoints(Poco::Net::HTTPServerRequest& aRequest,
                                  Poco::Net::HTTPServerResponse& aResponse)
{
  const auto key = ReadBearerKey(aRequest);
  const auto digest = key.empty() ? std::string() : KeyDigest(key);
  const auto configuration = mConfiguration();
  const auto* organisation = configuration ? configuration->OrganisationByKey(digest) : nullptr;
  const auto host = aRequest.clientAddress().host().toString();
  const auto name = organisation != nullptr ? organisation->mName : (key.empty() ? host : digest);
  const auto addresses = mEntryPointSource(name, aRequest.get("Gentianloom-Zone", ""));
  SendJson(
    aResponse,
    200,
    { { "addresses", addresses }, { "lifetime_ms", mSettings.mDrain.mAddressLifetime.count() } });
}

} // namespace gentianloom
