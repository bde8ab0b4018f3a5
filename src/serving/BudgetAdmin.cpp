#include "gentianloom/serving/BudgetAdmin.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/serving/HttpAnswer.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

constexpr std::string_view kBudgetsPrefix = "/budgets/";
constexpr std::string_view kReleaseSuffix = "/release";
constexpr std::string_view kUsagePath = "/usage";
constexpr std::int64_t kMostOrderBytes = 4'096;
constexpr Tokens kMostTokens = 1'000'000'000'000'000;

/// Whether an operator sees an organisation: its own teams', or all if it is the owner.
bool MaySee(const OperatorSettings& aOperator, const OrganisationSpec& aOrganisation)
{
  const auto& teams = aOperator.mTeams;
  return aOperator.mRole == OperatorRole::Owner ||
         std::find(teams.begin(), teams.end(), aOrganisation.mTeam) != teams.end();
}

Error NotStated(const AdminCall& aCall, const std::string& aOrganisation)
{
  return MakeError(ErrorCode::UnknownOrganisation,
                   Step::RequestAuthenticate,
                   aCall.mOperator.mName,
                   "the organisation \"" + aOrganisation + "\" is not stated or has no budget");
}

Json FiguresJson(const BudgetView& aView)
{
  return { { "prepaid", aView.mPrepaid },
           { "spent", aView.mSpent },
           { "held", aView.mHeld },
           { "in_doubt", aView.mInDoubt },
           { "left", aView.mLeft },
           { "configuration_version", aView.mVersion },
           { "age_ms", aView.mOldest.count() } };
}

Json HoldersJson(const BudgetView& aView)
{
  Json out = Json::array();
  for (const auto& it : aView.mHolders) {
    out.push_back({ { "incarnation", it.mIncarnation },
                    { "spent", it.mSpent },
                    { "rest", it.mRest },
                    { "age_ms", it.mAge.count() },
                    { "in_doubt", it.mInDoubt },
                    { "released", it.mReleased } });
  }
  return out;
}

Json UsageJson(const BudgetView& aView)
{
  Json out = Json::array();
  for (const auto& [key, tokens] : aView.mUsage) {
    out.push_back({ { "organisation", key.mOrganisation },
                    { "model", key.mModel },
                    { "day", DayText(key.mDay) },
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
    SendError(aCall.mResponse, NotStated(aCall, aOrganisation), Outcome::NotRun);
    return;
  }
  const auto view = mBudgets.ReadView(organisation->mBudget);
  if (!view) {
    SendError(aCall.mResponse, view.error(), Outcome::NotRun);
    return;
  }
  auto body = FiguresJson(view.value());
  body["organisation"] = aOrganisation;
  body["budget"] = organisation->mBudget;
  body["holders"] = HoldersJson(view.value());
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
    auto body = FiguresJson(view);
    body["budget"] = name;
    body["usage"] = UsageJson(view);
    list.push_back(std::move(body));
  }
  SendJson(aCall.mResponse, 200, { { "budgets", list } });
}

Result<ReleaseOrder> BudgetAdmin::ReadOrder(const AdminCall& aCall,
                                            const std::string& aOrganisation) const
{
  if (aCall.mOperator.mRole != OperatorRole::Owner) {
    return MakeError(ErrorCode::NotAllowed,
                     Step::RequestAuthenticate,
                     aCall.mOperator.mName,
                     "only an owner may release rights in doubt; ask one");
  }
  const auto configuration = mConfiguration();
  const auto* organisation = configuration ? configuration->Organisation(aOrganisation) : nullptr;
  if (organisation == nullptr || organisation->mBudget.empty()) {
    return NotStated(aCall, aOrganisation);
  }
  BOOST_OUTCOME_TRY(text, ReadBody(aCall.mRequest, kMostOrderBytes));
  BOOST_OUTCOME_TRY(json, ParseJson(text, aCall.mOperator.mName, Step::GrantReturn));
  JsonReader::Sink sink{ aCall.mOperator.mName, Step::GrantReturn };
  JsonReader reader(json, "", sink);
  ReleaseOrder out;
  out.mBudget = organisation->mBudget;
  out.mIncarnation = reader.String("incarnation");
  out.mUsed = reader.Integer("used", 0, kMostTokens);
  out.mNow = SystemClock().WallTime();
  reader.Finish();
  if (!sink.mErrors.empty()) {
    return sink.mErrors.front();
  }
  return out;
}

void BudgetAdmin::HandleRelease(const AdminCall& aCall, const std::string& aOrganisation)
{
  const auto order = ReadOrder(aCall, aOrganisation);
  if (!order) {
    SendError(aCall.mResponse, order.error(), Outcome::NotRun);
    return;
  }
  const auto freed = mBudgets.ReleaseHolder(order.value());
  const auto& it = order.value();
  LogChange(LogLevel::Warning,
            "budget",
            freed ? "an owner released rights in doubt" : "a release was refused",
            { { "operator", aCall.mOperator.mName },
              { "budget", it.mBudget },
              { "incarnation", it.mIncarnation },
              { "used", std::to_string(it.mUsed) } });
  if (!freed) {
    const bool lost = freed.error().mCode == ErrorCode::PlatformAnswerLost;
    SendError(aCall.mResponse, freed.error(), lost ? Outcome::Unknown : Outcome::NotRun);
    return;
  }
  SendJson(aCall.mResponse,
           200,
           { { "budget", it.mBudget },
             { "incarnation", it.mIncarnation },
             { "used", it.mUsed },
             { "freed", freed.value() } });
}

} // namespace gentianloom
