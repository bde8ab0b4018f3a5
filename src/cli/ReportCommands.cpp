#include "gentianloom/cli/CliContext.h"

#include "gentianloom/report/BurnReport.h"

#include <fstream>
#include <iostream>

namespace gentianloom::cli {

namespace {

/// Fetches the counts of one instance and adds them to the report. @return whether it succeeded
bool AddCountsFrom(const CliContext& aContext, const std::string& aName, BurnReport& aReport)
{
  const auto response = CallAdmin(aContext, { "GET", "/admin/v1/report/burn" });
  if (!response || response.value().mStatus != 200) {
    aReport.mMissingInstances.push_back(aName);
    return false;
  }
  const auto burn =
    ParseInstanceBurn(Json::parse(response.value().mBody, nullptr, false), aContext.mRouter);
  if (!burn) {
    std::cerr << ToString(burn.error()) << "\n";
    aReport.mMissingInstances.push_back(aName);
    return false;
  }
  AddInstance(aReport, burn.value());
  return true;
}

/// Adds the counts of all other instances that the first router lists; dead ones are listed as
/// missing.
void AddOtherInstances(const CliContext& aContext, BurnReport& aReport)
{
  const auto response = CallAdmin(aContext, { "GET", "/admin/v1/status" });
  const auto json = response ? Json::parse(response.value().mBody, nullptr, false) : Json();
  if (!json.is_object() || !json.contains("instances")) {
    return;
  }
  for (const auto& it : json["instances"]) {
    if (it.value("standing", "") == "dead") {
      aReport.mMissingInstances.push_back(it.value("instance", ""));
      continue;
    }
    auto context = aContext;
    context.mRouter = it.value("address", "");
    AddCountsFrom(context, it.value("instance", ""), aReport);
  }
}

} // namespace

int RunReport(const CliContext& aContext, Arguments aArguments)
{
  if (aArguments.size() == 2 && aArguments[1] == "usage") {
    return RunUsageReport(aContext, aArguments);
  }
  if (aArguments.size() != 2 || aArguments[1] != "burn") {
    return ExitUsage;
  }
  BurnReport report;
  if (!AddCountsFrom(aContext, aContext.mRouter, report)) {
    return ExitUnreachable;
  }
  AddOtherInstances(aContext, report);
  if (!aContext.mHtmlFile.empty()) {
    std::ofstream out(aContext.mHtmlFile);
    out << RenderBurnPage(report);
    if (!out.flush()) {
      std::cerr << "cannot write " << aContext.mHtmlFile << "; choose another file\n";
      return ExitUsage;
    }
  }
  std::cout << (aContext.mJson ? BurnReportToJson(report).dump(2) + "\n" : FormatBurnTable(report));
  return ExitSuccess;
}

} // namespace gentianloom::cli
