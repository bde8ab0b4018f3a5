#include "gentianloom/cli/CliContext.h"

#include "gentianloom/base/JsonReader.h"

#include <iostream>

namespace gentianloom::cli {

namespace {

constexpr Millis kRequestTimeout{ 30'000 };

void PrintErrorResponse(const HttpResponse& aResponse, const Json& aJson)
{
  if (aJson.is_object() && aJson.contains("errors")) {
    for (const auto& it : aJson["errors"]) {
      std::cerr << it.value("code", "") << ": " << it.value("message", "") << "\n";
    }
  } else if (aJson.is_object() && aJson.contains("error")) {
    const auto& error = aJson["error"];
    std::cerr << error.value("code", "") << ": " << error.value("message", "") << "\n";
  } else {
    std::cerr << "the router responded with status " << aResponse.mStatus << "\n";
  }
}

} // namespace

void PrintErrors(const std::vector<Error>& aErrors, bool aJson)
{
  Json list = Json::array();
  for (const auto& it : aErrors) {
    if (!aJson) {
      std::cerr << ToString(it) << "\n";
    }
    list.push_back({ { "code", ToString(it.mCode) }, { "message", it.mText } });
  }
  if (aJson) {
    std::cout << Json{ { "errors", list } }.dump(2) << "\n";
  }
}

boost::outcome_v2::checked<HttpResponse, int> CallAdmin(const CliContext& aContext,
                                                        HttpRequest aRequest)
{
  aRequest.mHeaders.emplace_back("Authorization", "Bearer " + aContext.mKey);
  auto response = CallHttp(aContext.mRouter, aRequest, kRequestTimeout, Step::RequestAccept);
  if (!response) {
    std::cerr << ToString(response.error().mError) << "\n";
    return static_cast<int>(ExitUnreachable);
  }
  return response.value();
}

int PrintResponse(const CliContext& aContext, const HttpResponse& aResponse)
{
  const auto json = Json::parse(aResponse.mBody, nullptr, false);
  const bool succeeded = aResponse.mStatus / 100 == 2;
  if (aContext.mJson || succeeded) {
    std::cout << (json.is_discarded() ? Json(aResponse.mBody) : json).dump(2) << "\n";
  } else {
    PrintErrorResponse(aResponse, json);
  }
  if (succeeded) {
    return ExitSuccess;
  }
  const bool isOutcomeUnknown = json.is_object() && json.contains("gentianloom") &&
                                json["gentianloom"].value("outcome", "") == "unknown";
  return isOutcomeUnknown ? ExitOutcomeUnknown : ExitRefused;
}

int CallAndPrint(const CliContext& aContext, HttpRequest aRequest)
{
  const auto response = CallAdmin(aContext, std::move(aRequest));
  return response ? PrintResponse(aContext, response.value()) : response.error();
}

} // namespace gentianloom::cli
