#include "gentianloom/base/JsonReader.h"
#include "gentianloom/cli/CliContext.h"

#include <charconv>
#include <optional>

namespace gentianloom::cli {

namespace {

std::optional<std::int64_t> ParseNumber(const std::string& aText)
{
  std::int64_t n = 0;
  const auto* end = aText.data() + aText.size();
  const auto [it, ec] = std::from_chars(aText.data(), end, n);
  return ec == std::errc() && it == end ? std::optional(n) : std::nullopt;
}

} // namespace

int RunBudget(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() == 3 && aArguments[1] == "show") {
    return CallAndPrint(aContext, { "GET", "/admin/v1/budgets/" + aArguments[2] });
  }
  const auto usedTokens = aArguments.size() == 5 ? ParseNumber(aArguments[4]) : std::nullopt;
  if (!usedTokens || aArguments[1] != "release") {
    return ExitUsage;
  }
  const Json release = { { "incarnation", aArguments[3] }, { "used", *usedTokens } };
  return CallAndPrint(
    aContext, { "POST", "/admin/v1/budgets/" + aArguments[2] + "/release", release.dump() });
}

int RunUsageReport(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() != 2 || aArguments[1] != "usage") {
    return ExitUsage;
  }
  return CallAndPrint(aContext, { "GET", "/admin/v1/usage" });
}

} // namespace gentianloom::cli
