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

constexpr int kAskTries = 5;

/// Reads and checks a file, and prints everything that is wrong with it.
std::optional<std::string> ReadGoodFile(const CliContext& aContext, const std::string& aFile)
{
  const auto text = ReadFile(aFile, Step::ApplicationCheck);
  if (!text) {
    PrintErrors({ text.error() }, aContext.mJson);
    return std::nullopt;
  }
  const auto parsed = ParseConfiguration(text.value(), aFile);
  if (!parsed.mErrors.empty()) {
    PrintErrors(parsed.mErrors, aContext.mJson);
    return std::nullopt;
  }
  return text.value();
}

bool IsNumber(const std::string& aText)
{
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return ec == std::errc() && end == aText.data() + aText.size() && n >= 0;
}

std::string BaseQuery(std::int64_t aBase)
{
  return aBase < 0 ? std::string() : "base=" + std::to_string(aBase);
}

/// The version in force, which an order builds on if the operator names none.
std::int64_t FindBase(const CliContext& aContext)
{
  if (aContext.mBase >= 0) {
    return aContext.mBase;
  }
  const auto answer = CallAdmin(aContext, { "GET", "/admin/v1/status" });
  const auto json = answer ? Json::parse(answer.value().mBody, nullptr, false) : Json::object();
  return json.is_object() ? json.value("version", std::int64_t{ -1 }) : -1;
}

/// Finds out what became of an order whose answer did not come.
int AskOutcome(const CliContext& aContext, const std::string& aApplyId)
{
  std::cerr << "no answer came; asking what became of " << aApplyId << "\n";
  for (int n = 0; n < kAskTries; ++n) {
    const auto answer =
      CallAdmin(aContext, { "GET", "/admin/v1/configuration/applications/" + aApplyId });
    if (answer && answer.value().mStatus / 100 == 2) {
      return PrintAnswer(aContext, answer.value());
    }
  }
  std::cerr << "the outcome is unknown; ask later with `gentianloom application " << aApplyId
            << "`, or apply the same file again, which is safe\n";
  return ExitUnknown;
}

int SendOrder(const CliContext& aContext, HttpRequest aRequest)
{
  const auto id = MakeId("apply");
  aRequest.mHeaders.emplace_back("Gentianloom-Apply-Id", id);
  const auto answer = CallAdmin(aContext, std::move(aRequest));
  return answer ? PrintAnswer(aContext, answer.value()) : AskOutcome(aContext, id);
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

/// Asks an instance itself; what the first router knows of it stays if it does not answer.
Json AskInstance(const CliContext& aContext, const Json& aKnown)
{
  auto context = aContext;
  context.mRouter = aKnown.value("address", "");
  const auto answer = CallAdmin(context, { "GET", "/admin/v1/status" });
  auto json = answer ? Json::parse(answer.value().mBody, nullptr, false) : Json();
  if (!json.is_object() || !json.contains("version")) {
    return aKnown;
  }
  json.erase("instances");
  return json;
}

} // namespace

int RunCheck(const CliContext& aContext, Words aWords)
{
  if (aWords.size() != 2) {
    return ExitUsage;
  }
  const auto text = ReadGoodFile(aContext, aWords[1]);
  if (!text) {
    return ExitUsage;
  }
  if (aContext.mRouter.empty()) {
    std::cout << (aContext.mJson ? "{ \"errors\": [] }" : aWords[1] + " is good") << "\n";
    return ExitGood;
  }
  return CallAndPrint(aContext, { "POST", "/admin/v1/configuration/check", *text });
}

int RunApply(const CliContext& aContext, Words aWords)
{
  if (aWords.size() != 2) {
    return ExitUsage;
  }
  const auto text = ReadGoodFile(aContext, aWords[1]);
  if (!text) {
    return ExitUsage;
  }
  const auto query = BaseQuery(FindBase(aContext));
  HttpRequest request{ "PUT", "/admin/v1/configuration?" + query, *text };
  request.mHeaders.emplace_back("Gentianloom-File", aWords[1]);
  return SendOrder(aContext, std::move(request));
}

int RunRollback(const CliContext& aContext, Words aWords)
{
  if (aWords.size() != 2 || !IsNumber(aWords[1])) {
    return ExitUsage;
  }
  const auto query = "to=" + aWords[1] + "&" + BaseQuery(FindBase(aContext));
  return SendOrder(aContext, { "POST", "/admin/v1/configuration/rollback?" + query });
}

int RunApplication(const CliContext& aContext, Words aWords)
{
  return aWords.size() == 2
           ? CallAndPrint(aContext, { "GET", "/admin/v1/configuration/applications/" + aWords[1] })
           : ExitUsage;
}

int RunHistory(const CliContext& aContext, Words aWords)
{
  return aWords.size() == 1 ? CallAndPrint(aContext, { "GET", "/admin/v1/configuration/history" })
                            : ExitUsage;
}

int RunDifference(const CliContext& aContext, Words aWords)
{
  if (aWords.size() != 3 || !IsNumber(aWords[1]) || !IsNumber(aWords[2])) {
    return ExitUsage;
  }
  return CallAndPrint(
    aContext,
    { "GET", "/admin/v1/configuration/difference?from=" + aWords[1] + "&to=" + aWords[2] });
}

int RunAudit(const CliContext& aContext, Words aWords)
{
  return aWords.size() == 1 ? CallAndPrint(aContext, { "GET", "/admin/v1/audit" }) : ExitUsage;
}

int RunStatus(const CliContext& aContext, Words aWords)
{
  const bool all = aWords.size() == 2 && aWords[1] == "all";
  if (aWords.size() != 1 && !all) {
    return ExitUsage;
  }
  const auto answer = CallAdmin(aContext, { "GET", "/admin/v1/status" });
  if (!answer) {
    return answer.error();
  }
  auto json = Json::parse(answer.value().mBody, nullptr, false);
  if (answer.value().mStatus != 200 || !json.is_object()) {
    return PrintAnswer(aContext, answer.value());
  }
  for (auto& it : json["instances"]) {
    if (all) {
      it = AskInstance(aContext, it);
    }
  }
  if (aContext.mJson) {
    std::cout << json.dump(2) << "\n";
    return ExitGood;
  }
  std::cout << std::left << std::setw(24) << "instance" << std::setw(16) << "zone" << std::setw(10)
            << "standing" << std::setw(12) << "version"
            << "known\n";
  PrintInstance(json);
  for (const auto& it : json["instances"]) {
    PrintInstance(it);
  }
  return ExitGood;
}

} // namespace gentianloom::cli
