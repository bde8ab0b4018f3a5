#include "gentianloom/serving/BudgetAdmin.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/serving/HttpMessages.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

constexpr std::string_view kBudgetsPrefix = "/budgets/";
constexpr std::string_view kReleaseSuffix = "/release";
constexpr std::string_view kUsagePath = "/usage";
constexpr std::int64_t kMaxReleaseOrderBytes = 4'096;
constexpr Tokens kMaxTokens = 1'000'000'000'000'000;

/// Whether an operator may see an organisation: an owner may see all, others those of their teams.
bool MaySee(const OperatorSettings& aOperator, const OrganisationSpec& aOrganisation)
{
  const auto& teams = aOperator.mTeams;
  return aOperator.mRole == OperatorRole::Owner ||
         std::find(teams.begin(), teams.end(), aOrganisation.mTeam) != teams.end();
}

Error MakeUnknownOrganisationError(const AdminCall& aCall, const std::string& aOrganisation)
{
  return MakeError(ErrorCode::UnknownOrganisation,
                   Step::RequestAuthenticate,
                   aCall.mOperator.mName,
                   "the organisation \"" + aOrganisation +
                     "\" is not in the configuration or has no budget");
}

Json TotalsToJson(const BudgetView& aView)
{
  return { { "prepaid", aView.mPrepaid },
           { "spent", aView.mSpent },
           { "held", aView.mHeld },
           { "in_doubt", aView.mInDoubt },
           { "left", aView.mUnallocated },
           { "configuration_version", aView.mVersion },
           { "age_ms", aView.mOldestReport.count() } };
}

Json HoldersToJson(const BudgetView& aView)
{
  Json out = Json::array();
  for (const auto& it : aView.mHolders) {
    out.push_back({ { "incarnation", it.mIncarnation },
                    { "spent", it.mSpent },
                    { "rest", it.mUnspent },
                    { "age_ms", it.mAge.count() },
                    { "in_doubt", it.mInDoubt },
                    { "released", it.mReleased } });
  }
  return out;
}

Json UsageToJson(const BudgetView& aView)
{
  Json out = Json::array();
  for (const auto& [key, tokens] : aView.mUsage) {
    out.push_back({ { "organisation", key.mOrganisation },
                    { "model", key.mModel },
                    { "day", FormatDay(key.mDay) },
                    { "tokens", tokens } });
  }
  return out;
}

} // namespace

bool BudgetAdmin::Handle(const AdminCall& aCall)
{
  if (aCall.mPath == kUsagePath && aCall.mMethod == "GET") {
    HandleUsage(aCall);
    return true;
  }
  if (!aCall.mPath.starts_with(kBudgetsPrefix)) {
    return false;
  }
  const auto name = aCall.mPath.substr(kBudgetsPrefix.size());
  if (aCall.mMethod == "POST" && name.ends_with(kReleaseSuffix)) {
    HandleRelease(aCall, name.substr(0, name.size() - kReleaseSuffix.size()));
    return true;
  }
  if (aCall.mMethod != "GET") {
    return false;
  }
  HandleShow(aCall, name);
  return true;
}

void BudgetAdmin::HandleShow(const AdminCall& aCall, const std::string& aOrganisation)
{
  const auto configuration = mConfiguration();
  const auto* organisation = configuration ? configuration->Organisation(aOrganisation) : nullptr;
  if (organisation == nullptr || organisation->mBudget.empty() ||
      !MaySee(aCall.mOperator, *organisation)) {
    SendError(aCall.mResponse, MakeUnknownOrganisationError(aCall, aOrganisation), Outcome::NotRun);
    return;
  }
  const auto view = mBudgets.ReadView(organisation->mBudget);
  if (!view) {
    SendError(aCall.mResponse, view.error(), Outcome::NotRun);
    return;
  }
  auto body = TotalsToJson(view.value());
  body["organisation"] = aOrganisation;
  body["budget"] = organisation->mBudget;
  body["holders"] = HoldersToJson(view.value());
  SendJson(aCall.mResponse, 200, body);
}

void BudgetAdmin::HandleUsage(const AdminCall& aCall)
{
  const auto configuration = mConfiguration();
  std::set<std::string> budgets;
  if (configuration) {
    for (const auto& it : configuration->Spec().mOrganisations) {
      if (!it.mBudget.empty() && MaySee(aCall.mOperator, it)) {
        budgets.insert(it.mBudget);
      }
    }
  }
  const auto views = mBudgets.ReadViews(budgets);
  if (!views) {
    SendError(aCall.mResponse, views.error(), Outcome::NotRun);
    return;
  }
  Json list = Json::array();
  for (const auto& [name, view] : views.value()) {
    auto body = TotalsToJson(view);
    body["budget"] = name;
    body["usage"] = UsageToJson(view);
    list.push_back(std::move(body));
  }
  SendJson(aCall.mResponse, 200, { { "budgets", list } });
}

Result<ReleaseOrder> BudgetAdmin::ReadReleaseOrder(const AdminCall& aCall,
                                                   const std::string& aOrganisation) const
{
  if (aCall.mOperator.mRole != OperatorRole::Owner) {
    return MakeError(ErrorCode::NotAllowed,
                     Step::RequestAuthenticate,
                     aCall.mOperator.mName,
                     "only an owner may release grants in doubt; ask an owner");
  }
  const auto configuration = mConfiguration();
  const auto* organisation = configuration ? configuration->Organisation(aOrganisation) : nullptr;
  if (organisation == nullptr || organisation->mBudget.empty()) {
    return MakeUnknownOrganisationError(aCall, aOrganisation);
  }
  BOOST_OUTCOME_TRY(text, ReadBody(aCall.mRequest, kMaxReleaseOrderBytes));
  BOOST_OUTCOME_TRY(json, ParseJson(text, aCall.mOperator.mName, Step::GrantReturn));
  JsonReader::Sink sink{ aCall.mOperator.mName, Step::GrantReturn };
  JsonReader reader(json, "", sink);
  ReleaseOrder out;
  out.mBudget = organisation->mBudget;
  out.mIncarnation = reader.String("incarnation");
  out.mUsed = reader.Integer("used", 0, kMaxTokens);
  out.mNow = SystemClock().WallTime();
  reader.Finish();
  if (!sink.mErrors.empty()) {
    return sink.mErrors.front();
  }
  return out;
}

void BudgetAdmin::HandleRelease(const AdminCall& aCall, const std::string& aOrganisation)
{
  const auto order = ReadReleaseOrder(aCall, aOrganisation);
  if (!order) {
    SendError(aCall.mResponse, order.error(), Outcome::NotRun);
    return;
  }
  const auto freedTokens = mBudgets.ReleaseHolder(order.value());
  const auto& it = order.value();
  LogChange(LogLevel::Warning,
            "budget",
            freedTokens ? "grants in doubt released by an owner"
                        : "release of grants in doubt failed",
            { { "operator", aCall.mOperator.mName },
              { "budget", it.mBudget },
              { "incarnation", it.mIncarnation },
              { "used", std::to_string(it.mUsed) } });
  if (!freedTokens) {
    const bool isResponseLost = freedTokens.error().mCode == ErrorCode::PlatformAnswerLost;
    SendError(
      aCall.mResponse, freedTokens.error(), isResponseLost ? Outcome::Unknown : Outcome::NotRun);
    return;
  }
  SendJson(aCall.mResponse,
           200,
           { { "budget", it.mBudget },
             { "incarnation", it.mIncarnation },
             { "used", it.mUsed },
             { "freed", freedTokens.value() } });
}

} // namespace gentianloom
