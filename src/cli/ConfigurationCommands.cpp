#include "gentianloom/cli/CliContext.h"

#include "gentianloom/base/File.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/settings/Settings.h"

#include <charconv>
#include <iomanip>
#include <iostream>
#include <optional>

namespace gentianloom::cli {

namespace {

constexpr int kMaxOutcomeQueries = 5;

/// Reads and validates a configuration file; prints all errors found in it.
/// @return its text, or nothing if it cannot be read or is not valid
std::optional<std::string> ReadValidFile(const CliContext& aContext, const std::string& aPath)
{
  const auto text = ReadFile(aPath, Step::ApplicationCheck);
  if (!text) {
    PrintErrors({ text.error() }, aContext.mJson);
    return std::nullopt;
  }
  const auto parsed = ParseConfiguration(text.value(), aPath);
  if (!parsed.mErrors.empty()) {
    PrintErrors(parsed.mErrors, aContext.mJson);
    return std::nullopt;
  }
  return text.value();
}

bool IsVersionNumber(const std::string& aText)
{
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return ec == std::errc() && end == aText.data() + aText.size() && n >= 0;
}

std::string BaseQuery(std::int64_t aBaseVersion)
{
  return aBaseVersion < 0 ? std::string() : "base=" + std::to_string(aBaseVersion);
}

/// @return the base version that the operator named, else the version in force; -1 if that is not
/// known
std::int64_t ResolveBaseVersion(const CliContext& aContext)
{
  if (aContext.mBaseVersion >= 0) {
    return aContext.mBaseVersion;
  }
  const auto response = CallAdmin(aContext, { "GET", "/admin/v1/status" });
  const auto json = response ? Json::parse(response.value().mBody, nullptr, false) : Json::object();
  return json.is_object() ? json.value("version", std::int64_t{ -1 }) : -1;
}

/// Queries the outcome of a change whose response was not received.
int QueryOutcome(const CliContext& aContext, const std::string& aApplyId)
{
  std::cerr << "no response received; querying the outcome of " << aApplyId << "\n";
  for (int n = 0; n < kMaxOutcomeQueries; ++n) {
    const auto response =
      CallAdmin(aContext, { "GET", "/admin/v1/configuration/applications/" + aApplyId });
    if (response && response.value().mStatus / 100 == 2) {
      return PrintResponse(aContext, response.value());
    }
  }
  std::cerr << "the outcome is unknown; query it later with `gentianloom application " << aApplyId
            << "`, or apply the same file again, which is safe\n";
  return ExitOutcomeUnknown;
}

int SendConfigurationChange(const CliContext& aContext, HttpRequest aRequest)
{
  const auto id = MakeId("apply");
  aRequest.mHeaders.emplace_back("Gentianloom-Apply-Id", id);
  const auto response = CallAdmin(aContext, std::move(aRequest));
  return response ? PrintResponse(aContext, response.value()) : QueryOutcome(aContext, id);
}

void PrintInstance(const Json& aInstance)
{
  const auto age = aInstance.value("ageMs", std::int64_t{ 0 });
  std::cout << std::left << std::setw(24) << aInstance.value("instance", "") << std::setw(16)
            << aInstance.value("zone", "") << std::setw(10) << aInstance.value("standing", "alive")
            << std::setw(12) << aInstance.value("version", std::int64_t{ 0 })
            << (age < 0 ? std::string("never reached") : std::to_string(age) + " ms ago") << "  "
            << aInstance.value("alarm", "") << "\n";
}

/// Queries the status of an instance from the instance itself.
/// @return its status, or the first router's entry @p aListed if the query fails
Json QueryInstance(const CliContext& aContext, const Json& aListed)
{
  auto context = aContext;
  context.mRouter = aListed.value("address", "");
  const auto response = CallAdmin(context, { "GET", "/admin/v1/status" });
  auto json = response ? Json::parse(response.value().mBody, nullptr, false) : Json();
  if (!json.is_object() || !json.contains("version")) {
    return aListed;
  }
  json.erase("instances");
  return json;
}

} // namespace

int RunCheck(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() != 2) {
    return ExitUsage;
  }
  const auto text = ReadValidFile(aContext, aArguments[1]);
  if (!text) {
    return ExitUsage;
  }
  if (aContext.mRouter.empty()) {
    std::cout << (aContext.mJson ? "{ \"errors\": [] }" : aArguments[1] + " is valid") << "\n";
    return ExitSuccess;
  }
  return CallAndPrint(aContext, { "POST", "/admin/v1/configuration/check", *text });
}

int RunApply(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() != 2) {
    return ExitUsage;
  }
  const auto text = ReadValidFile(aContext, aArguments[1]);
  if (!text) {
    return ExitUsage;
  }
  const auto query = BaseQuery(ResolveBaseVersion(aContext));
  HttpRequest request{ "PUT", "/admin/v1/configuration?" + query, *text };
  request.mHeaders.emplace_back("Gentianloom-File", aArguments[1]);
  return SendConfigurationChange(aContext, std::move(request));
}

int RunRollback(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() != 2 || !IsVersionNumber(aArguments[1])) {
    return ExitUsage;
  }
  const auto query = "to=" + aArguments[1] + "&" + BaseQuery(ResolveBaseVersion(aContext));
  return SendConfigurationChange(aContext, { "POST", "/admin/v1/configuration/rollback?" + query });
}

int RunApplication(const CliContext& aContext, Arguments aArguments)
{
  return aArguments.size() == 2
           ? CallAndPrint(aContext,
                          { "GET", "/admin/v1/configuration/applications/" + aArguments[1] })
           : ExitUsage;
}

int RunHistory(const CliContext& aContext, Arguments aArguments)
{
  return aArguments.size() == 1
           ? CallAndPrint(aContext, { "GET", "/admin/v1/configuration/history" })
           : ExitUsage;
}

int RunDifference(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() != 3 || !IsVersionNumber(aArguments[1]) ||
      !IsVersionNumber(aArguments[2])) {
    return ExitUsage;
  }
  return CallAndPrint(
    aContext,
    { "GET", "/admin/v1/configuration/difference?from=" + aArguments[1] + "&to=" + aArguments[2] });
}

int RunAudit(const CliContext& aContext, Arguments aArguments)
{
  return aArguments.size() == 1 ? CallAndPrint(aContext, { "GET", "/admin/v1/audit" }) : ExitUsage;
}

int RunStatus(const CliContext& aContext, Arguments aArguments)
{
  const bool queriesAll = aArguments.size() == 2 && aArguments[1] == "all";
  if (aArguments.size() != 1 && !queriesAll) {
    return ExitUsage;
  }
  const auto response = CallAdmin(aContext, { "GET", "/admin/v1/status" });
  if (!response) {
    return response.error();
  }
  auto json = Json::parse(response.value().mBody, nullptr, false);
  if (response.value().mStatus != 200 || !json.is_object()) {
    return PrintResponse(aContext, response.value());
  }
  for (auto& it : json["instances"]) {
    if (queriesAll) {
      it = QueryInstance(aContext, it);
    }
  }
  if (aContext.mJson) {
    std::cout << json.dump(2) << "\n";
    return ExitSuccess;
  }
  std::cout << std::left << std::setw(24) << "instance" << std::setw(16) << "zone" << std::setw(10)
            << "standing" << std::setw(12) << "version"
            << "known\n";
  PrintInstance(json);
  for (const auto& it : json["instances"]) {
    PrintInstance(it);
  }
  return ExitSuccess;
}

} // namespace gentianloom::cli
