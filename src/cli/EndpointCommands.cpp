#include "gentianloom/cli/CliContext.h"

#include "gentianloom/base/JsonReader.h"

#include <iostream>
#include <map>
#include <set>

namespace gentianloom::cli {

namespace {

/// Fetches the endpoint list of one router. @return an empty array if the request fails
Json FetchEndpoints(const CliContext& aContext)
{
  const auto response = CallAdmin(aContext, { "GET", "/admin/v1/endpoints" });
  if (!response || response.value().mStatus != 200) {
    return Json::array();
  }
  const auto json = Json::parse(response.value().mBody, nullptr, false);
  return json.is_object() ? json.value("endpoints", Json::array()) : Json::array();
}

void PrintEndpoint(const Json& aEndpoint)
{
  std::cout << aEndpoint.value("name", "") << "  " << aEndpoint.value("condition", "unknown");
  if (aEndpoint.contains("stated")) {
    const auto& stated = aEndpoint["stated"];
    std::cout << "  stated " << stated.value("model", "") << "@" << stated.value("version", "");
  }
  if (aEndpoint.contains("runs")) {
    const auto& runs = aEndpoint["runs"];
    std::cout << "  runs " << runs.value("model", "") << "@" << runs.value("version", "");
  }
  const auto reason = aEndpoint.value("reason", "");
  std::cout << "  owner " << aEndpoint.value("owner", "") << (reason.empty() ? "" : "  " + reason)
            << "\n";
}

} // namespace

int RunEndpoints(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() != 1) {
    return ExitUsage;
  }
  const auto response = CallAdmin(aContext, { "GET", "/admin/v1/endpoints" });
  if (!response) {
    return response.error();
  }
  if (response.value().mStatus != 200) {
    return PrintResponse(aContext, response.value());
  }
  std::map<std::string, Json> endpoints;
  std::set<std::string> owners;
  const auto body = Json::parse(response.value().mBody, nullptr, false);
  const auto listed = body.is_object() ? body.value("endpoints", Json::array()) : Json::array();
  for (const auto& it : listed) {
    endpoints[it.value("name", "")] = it;
    if (!it.contains("condition")) {
      owners.insert(it.value("ownerAddress", ""));
    }
  }
  owners.erase("");
  for (const auto& owner : owners) { // only the owner of an endpoint knows its condition
    auto context = aContext;
    context.mRouter = owner;
    for (const auto& it : FetchEndpoints(context)) {
      if (it.contains("condition")) {
        endpoints[it.value("name", "")] = it;
      }
    }
  }
  Json list = Json::array();
  for (const auto& [name, it] : endpoints) {
    list.push_back(it);
    if (!aContext.mJson) {
      PrintEndpoint(it);
    }
  }
  if (aContext.mJson) {
    std::cout << Json{ { "endpoints", list } }.dump(2) << "\n";
  }
  return ExitSuccess;
}

} // namespace gentianloom::cli
