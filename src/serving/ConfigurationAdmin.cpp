#include "gentianloom/serving/ConfigurationAdmin.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/configuration/AccessControl.h"
#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/configuration/Rollback.h"
#include "gentianloom/report/Audit.h"
#include "gentianloom/serving/AdminQuery.h"
#include "gentianloom/serving/HttpAnswer.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::int64_t kMostConfigurationBytes = 256LL * 1024 * 1024;
constexpr std::string_view kApplications = "/configuration/applications/";

/// Old versions are deleted after each so many versions, by the router that applied.
constexpr std::int64_t kSweepInterval = 16;

const Configuration kNothing;

const Configuration& StatedOr(const AcceptedConfigurationPtr& aAccepted)
{
  return aAccepted ? aAccepted->Spec() : kNothing;
}

/// Reads and checks the file of a request; answers with all its errors if it is wrong.
std::optional<Configuration> ReadFileOf(const AdminCall& aCall)
{
  auto body = ReadBody(aCall.mRequest, kMostConfigurationBytes);
  if (!body) {
    SendError(aCall.mResponse, body.error(), Outcome::NotRun);
    return std::nullopt;
  }
  auto parsed = ParseConfiguration(body.value(), aCall.mRequest.get("Gentianloom-File", "file"));
  if (parsed.mErrors.empty()) {
    return std::move(parsed.mConfiguration);
  }
  Json list = Json::array();
  for (const auto& it : parsed.mErrors) {
    list.push_back(ErrorJson(it, Outcome::NotRun)["error"]);
  }
  aCall.mResponse.set("Gentianloom-Outcome", "not-run");
  SendJson(aCall.mResponse, 400, { { "errors", list } });
  return std::nullopt;
}

void Refuse(const AdminCall& aCall, const Error& aError)
{
  SendError(aCall.mResponse, aError, Outcome::NotRun);
}

} // namespace

ConfigurationAdmin::ConfigurationAdmin(const Settings& aSettings,
                                       KeyValueStore& aStore,
                                       ConfigurationManager& aDuty,
                                       const Clock& aClock,
                                       InstanceViews aInstances)
  : mSettings(aSettings)
  , mKeyValueStore(aStore)
  , mStore(aStore)
  , mDuty(aDuty)
  , mClock(aClock)
  , mInstances(std::move(aInstances))
{
}

bool ConfigurationAdmin::Handle(const AdminCall& aCall)
{
  struct Route
  {
    std::string_view mMethod;
    std::string_view mPath;
    Handler mHandler;
  };
  static constexpr Route kRoutes[] = {
    { "PUT", "/configuration", &ConfigurationAdmin::HandleApply },
    { "POST", "/configuration/check", &ConfigurationAdmin::HandleCheck },
    { "GET", "/configuration/history", &ConfigurationAdmin::HandleHistory },
    { "GET", "/configuration/difference", &ConfigurationAdmin::HandleDifference },
    { "POST", "/configuration/rollback", &ConfigurationAdmin::HandleRollback },
    { "GET", "/audit", &ConfigurationAdmin::HandleAudit },
    { "GET", "/status", &ConfigurationAdmin::HandleStatus },
  };
  for (const auto& it : kRoutes) {
    if (it.mMethod == aCall.mMethod && it.mPath == aCall.mPath) {
      (this->*it.mHandler)(aCall);
      return true;
    }
  }
  if (aCall.mMethod == "GET" && aCall.mPath.starts_with(kApplications)) {
    HandleApplication(aCall);
    return true;
  }
  return false;
}

void ConfigurationAdmin::HandleApply(const AdminCall& aCall)
{
  const auto file = ReadFileOf(aCall);
  if (!file) {
    return;
  }
  mDuty.Refresh();
  const auto refusal = CheckMayApply(aCall.mOperator, StatedOr(mDuty.InForce()), *file);
  if (refusal) {
    Refuse(aCall, *refusal);
    return;
  }
  ApplyAndAnswer(aCall, *file, "apply");
}

void ConfigurationAdmin::ApplyAndAnswer(const AdminCall& aCall,
                                        const Configuration& aConfiguration,
                                        const std::string& aAction)
{
  const auto before = mDuty.InForce();
  const auto summary = FormatSummary(Compare(StatedOr(before), aConfiguration));
  ApplyRequest request;
  request.mOperator = aCall.mOperator.mName;
  request.mApplyId = aCall.mRequest.get("Gentianloom-Apply-Id", MakeId("apply"));
  request.mAction = aAction;
  request.mBaseVersion = QueryNumber(aCall.mQuery, "base");
  // What was checked against must still be in force, whatever base the operator named.
  const auto checked = before ? before->Version() : 0;
  const auto named = request.mBaseVersion;
  request.mBaseVersion = named.value_or(checked);
  request.mHighestKnown = mDuty.Status().mHighestKnown;
  request.mWallTime = mClock.WallTime();
  request.mExtraWrites = [&](const ConfigurationHead& aHead) {
    const AuditEntry entry{ aHead.mWallTime,
                            aHead.mOperator,
                            "configuration",
                            aAction,
                            "version " + std::to_string(aHead.mVersion) + ": " + summary };
    return std::vector<Write>{ AuditWrite(entry, aHead.mVersion) };
  };
  auto answer = mStore.Apply(aConfiguration, request);
  if (!answer && answer.error().mCode == ErrorCode::Conflict) {
    AnswerConflict(aCall, answer.error(), aConfiguration);
    return;
  }
  if (!answer) {
    const bool lost = answer.error().mCode == ErrorCode::PlatformAnswerLost;
    SendError(aCall.mResponse, answer.error(), lost ? Outcome::Unknown : Outcome::NotRun);
    return;
  }
  mDuty.Refresh();
  if (answer.value().mChanged && answer.value().mHead.mVersion % kSweepInterval == 0) {
    static_cast<void>(mStore.Sweep(request.mWallTime));
  }
  auto json = HeadToJson(answer.value().mHead);
  json["changed"] = answer.value().mChanged;
  json["changes"] = answer.value().mChanged ? summary : "nothing differs";
  aCall.mResponse.set("Gentianloom-Outcome", "done");
  SendJson(aCall.mResponse, 200, json);
}

void ConfigurationAdmin::AnswerConflict(const AdminCall& aCall,
                                        const Error& aError,
                                        const Configuration& aWanted)
{
  auto json = ErrorJson(aError, Outcome::NotRun);
  const auto before = QueryNumber(aCall.mQuery, "base");
  mDuty.Refresh();
  const auto now = mDuty.InForce();
  const auto base =
    before ? ReadVersion(*before) : Result<AcceptedConfigurationPtr>(AcceptedConfigurationPtr());
  if (now) {
    const auto winner = mStore.ReadVersion(now->Version());
    if (winner) {
      json["inForce"] = HeadToJson(winner.value());
    }
    json["yourFileAgainstInForce"] = DifferenceToJson(
      FilterVisible(aCall.mOperator, Compare(now->Spec(), aWanted), now->Spec(), aWanted));
  }
  if (now && base && base.value()) {
    const auto& from = base.value()->Spec();
    json["inForceAgainstYourBase"] = DifferenceToJson(
      FilterVisible(aCall.mOperator, Compare(from, now->Spec()), from, now->Spec()));
  }
  aCall.mResponse.set("Gentianloom-Outcome", "not-run");
  SendJson(aCall.mResponse, HttpStatusOf(aError.mCode), json);
}

void ConfigurationAdmin::HandleCheck(const AdminCall& aCall)
{
  const auto file = ReadFileOf(aCall);
  if (!file) {
    return;
  }
  const auto inForce = mDuty.InForce();
  const auto& before = StatedOr(inForce);
  const auto difference = FilterVisible(aCall.mOperator, Compare(before, *file), before, *file);
  const auto refusal = CheckMayApply(aCall.mOperator, before, *file);
  SendJson(aCall.mResponse,
           200,
           { { "version", inForce ? inForce->Version() : 0 },
             { "changes", DifferenceToJson(difference) },
             { "summary", FormatSummary(difference) },
             { "refusal", refusal ? Json(refusal->mText) : Json() } });
}

void ConfigurationAdmin::HandleHistory(const AdminCall& aCall)
{
  auto history = mStore.ReadHistory();
  if (!history) {
    Refuse(aCall, history.error());
    return;
  }
  Json list = Json::array();
  for (const auto& it : history.value()) {
    list.push_back(HeadToJson(it));
  }
  SendJson(aCall.mResponse, 200, { { "versions", list } });
}

Result<AcceptedConfigurationPtr> ConfigurationAdmin::ReadVersion(std::int64_t aVersion)
{
  const auto inForce = mDuty.InForce();
  if (inForce && inForce->Version() == aVersion) {
    return inForce;
  }
  BOOST_OUTCOME_TRY(head, mStore.ReadVersion(aVersion));
  return mStore.ReadConfiguration(head, inForce);
}

Result<Difference> ConfigurationAdmin::ReadDifference(const AdminCall& aCall,
                                                      std::int64_t aFrom,
                                                      std::int64_t aTo)
{
  BOOST_OUTCOME_TRY(from, ReadVersion(aFrom));
  BOOST_OUTCOME_TRY(to, ReadVersion(aTo));
  const auto& before = StatedOr(from);
  const auto& after = StatedOr(to);
  return FilterVisible(aCall.mOperator, Compare(before, after), before, after);
}

void ConfigurationAdmin::HandleDifference(const AdminCall& aCall)
{
  const auto from = QueryNumber(aCall.mQuery, "from");
  const auto to = QueryNumber(aCall.mQuery, "to");
  if (!from || !to) {
    Refuse(aCall,
           MakeError(ErrorCode::MissingKey,
                     Step::ApplicationCheck,
                     aCall.mOperator.mName,
                     "from and to must be numbers of versions; see `gentianloom history`"));
    return;
  }
  auto difference = ReadDifference(aCall, *from, *to);
  if (!difference) {
    Refuse(aCall, difference.error());
    return;
  }
  SendJson(aCall.mResponse,
           200,
           { { "from", *from },
             { "to", *to },
             { "changes", DifferenceToJson(difference.value()) },
             { "summary", FormatSummary(difference.value()) } });
}

void ConfigurationAdmin::HandleRollback(const AdminCall& aCall)
{
  const auto to = QueryNumber(aCall.mQuery, "to");
  if (aCall.mOperator.mRole != OperatorRole::Owner || !to) {
    Refuse(aCall,
           MakeError(to ? ErrorCode::NotAllowed : ErrorCode::MissingKey,
                     Step::RequestAuthenticate,
                     aCall.mOperator.mName,
                     to ? "only an owner may roll back; ask one"
                        : "to must be the number of a version; see `gentianloom history`"));
    return;
  }
  mDuty.Refresh();
  const auto target = ReadVersion(*to);
  if (!target) {
    Refuse(aCall, target.error());
    return;
  }
  ApplyAndAnswer(aCall,
                 MakeRollbackConfiguration(StatedOr(mDuty.InForce()), StatedOr(target.value())),
                 "rollback to " + std::to_string(*to));
}

void ConfigurationAdmin::HandleApplication(const AdminCall& aCall)
{
  const auto id = aCall.mPath.substr(kApplications.size());
  auto found = mStore.FindByApplyId(id);
  if (!found) {
    Refuse(aCall, found.error());
    return;
  }
  if (found.value()) {
    SendJson(aCall.mResponse, 200, HeadToJson(*found.value()));
    return;
  }
  SendError(aCall.mResponse,
            MakeError(ErrorCode::OutcomeUnknown,
                      Step::ApplicationCommit,
                      "key-value service",
                      "no kept version came of " + id +
                        " so far; apply the same file again to settle it, which is safe"),
            Outcome::Unknown);
}

void ConfigurationAdmin::HandleAudit(const AdminCall& aCall)
{
  auto entries = ReadAudit(mKeyValueStore);
  if (!entries) {
    Refuse(aCall, entries.error());
    return;
  }
  Json list = Json::array();
  for (const auto& it : entries.value()) {
    const bool own = it.mOperator == aCall.mOperator.mName;
    if (own || aCall.mOperator.mRole == OperatorRole::Owner) {
      list.push_back(AuditJson(it));
    }
  }
  SendJson(aCall.mResponse, 200, { { "entries", list } });
}

Json ConfigurationAdmin::InstancesJson() const
{
  Json out = Json::array();
  for (const auto& it : mInstances()) {
    out.push_back({ { "instance", it.mName },
                    { "zone", it.mZone },
                    { "standing", it.mStanding },
                    { "address", it.mAddress },
                    { "version", it.mVersion },
                    { "ageMs", it.mAgeMs } });
  }
  return out;
}

void ConfigurationAdmin::HandleStatus(const AdminCall& aCall)
{
  const auto standing = mDuty.Status();
  SendJson(aCall.mResponse,
           200,
           { { "instance", mSettings.mName },
             { "zone", mSettings.mZone },
             { "version", standing.mInForce.mVersion },
             { "digest", standing.mInForce.mDigest },
             { "inForceSince", FormatTime(standing.mInForceSince) },
             { "highestHeard", standing.mHighestKnown },
             { "storeVersion", standing.mStoreVersion ? Json(*standing.mStoreVersion) : Json() },
             { "provisional", !standing.mStoreVersion },
             { "alarm", ToString(standing.mAlarm) },
             { "instances", InstancesJson() } });
}

} // namespace gentianloom
