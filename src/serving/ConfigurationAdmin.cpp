#include "gentianloom/serving/ConfigurationAdmin.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/configuration/AccessControl.h"
#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/configuration/Rollback.h"
#include "gentianloom/report/Audit.h"
#include "gentianloom/serving/HttpMessages.h"
#include "gentianloom/serving/QueryParameter.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::int64_t kMaxConfigurationBytes = 256LL * 1024 * 1024;
constexpr std::string_view kApplicationsPrefix = "/configuration/applications/";

/// The router that applies each version divisible by this number also deletes old versions.
constexpr std::int64_t kVersionsPerSweep = 16;

const Configuration kEmptyConfiguration;

const Configuration& StatedOrEmpty(const AcceptedConfigurationPtr& aAccepted)
{
  return aAccepted ? aAccepted->Spec() : kEmptyConfiguration;
}

/// Reads and validates the configuration file in a request. Sends all errors if it is invalid.
std::optional<Configuration> ReadConfigurationFile(const AdminCall& aCall)
{
  auto body = ReadBody(aCall.mRequest, kMaxConfigurationBytes);
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
    list.push_back(ErrorToJson(it, Outcome::NotRun)["error"]);
  }
  aCall.mResponse.set("Gentianloom-Outcome", "not-run");
  SendJson(aCall.mResponse, 400, { { "errors", list } });
  return std::nullopt;
}

void SendRejection(const AdminCall& aCall, const Error& aError)
{
  SendError(aCall.mResponse, aError, Outcome::NotRun);
}

} // namespace

ConfigurationAdmin::ConfigurationAdmin(const Settings& aSettings,
                                       KeyValueStore& aStore,
                                       ConfigurationManager& aConfiguration,
                                       const Clock& aClock,
                                       InstanceSource aInstances)
  : mSettings(aSettings)
  , mKeyValueStore(aStore)
  , mStore(aStore)
  , mConfiguration(aConfiguration)
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
  if (aCall.mMethod == "GET" && aCall.mPath.starts_with(kApplicationsPrefix)) {
    HandleApplication(aCall);
    return true;
  }
  return false;
}

void ConfigurationAdmin::HandleApply(const AdminCall& aCall)
{
  const auto file = ReadConfigurationFile(aCall);
  if (!file) {
    return;
  }
  mConfiguration.Refresh();
  const auto refusal =
    CheckMayApply(aCall.mOperator, StatedOrEmpty(mConfiguration.InForce()), *file);
  if (refusal) {
    SendRejection(aCall, *refusal);
    return;
  }
  ApplyAndRespond(aCall, *file, "apply");
}

void ConfigurationAdmin::ApplyAndRespond(const AdminCall& aCall,
                                         const Configuration& aConfiguration,
                                         const std::string& aAction)
{
  const auto before = mConfiguration.InForce();
  const auto summary = FormatSummary(Compare(StatedOrEmpty(before), aConfiguration));
  ApplyRequest request;
  request.mOperator = aCall.mOperator.mName;
  request.mApplyId = aCall.mRequest.get("Gentianloom-Apply-Id", MakeId("apply"));
  request.mAction = aAction;
  request.mBaseVersion = FindQueryNumber(aCall.mQuery, "base");
  // Without a base from the operator, the version that the checks above used must still be in force
  // when the store applies the file.
  const auto checkedVersion = before ? before->Version() : 0;
  const auto requestedBase = request.mBaseVersion;
  request.mBaseVersion = requestedBase.value_or(checkedVersion);
  request.mHighestKnown = mConfiguration.Status().mHighestKnown;
  request.mWallTime = mClock.WallTime();
  request.mExtraWrites = [&](const ConfigurationHead& aHead) {
    const AuditEntry entry{ aHead.mWallTime,
                            aHead.mOperator,
                            "configuration",
                            aAction,
                            "version " + std::to_string(aHead.mVersion) + ": " + summary };
    return std::vector<Write>{ MakeAuditWrite(entry, aHead.mVersion) };
  };
  auto result = mStore.Apply(aConfiguration, request);
  if (!result && result.error().mCode == ErrorCode::Conflict) {
    SendConflict(aCall, result.error(), aConfiguration);
    return;
  }
  if (!result) {
    const bool isResponseLost = result.error().mCode == ErrorCode::PlatformAnswerLost;
    SendError(aCall.mResponse, result.error(), isResponseLost ? Outcome::Unknown : Outcome::NotRun);
    return;
  }
  mConfiguration.Refresh();
  if (result.value().mChanged && result.value().mHead.mVersion % kVersionsPerSweep == 0) {
    static_cast<void>(mStore.Sweep(request.mWallTime));
  }
  auto json = HeadToJson(result.value().mHead);
  json["changed"] = result.value().mChanged;
  json["changes"] = result.value().mChanged ? summary : "nothing differs";
  aCall.mResponse.set("Gentianloom-Outcome", "done");
  SendJson(aCall.mResponse, 200, json);
}

void ConfigurationAdmin::SendConflict(const AdminCall& aCall,
                                      const Error& aError,
                                      const Configuration& aSubmitted)
{
  auto json = ErrorToJson(aError, Outcome::NotRun);
  const auto before = FindQueryNumber(aCall.mQuery, "base");
  mConfiguration.Refresh();
  const auto now = mConfiguration.InForce();
  const auto base =
    before ? ReadVersion(*before) : Result<AcceptedConfigurationPtr>(AcceptedConfigurationPtr());
  if (now) {
    const auto winner = mStore.ReadVersion(now->Version());
    if (winner) {
      json["inForce"] = HeadToJson(winner.value());
    }
    json["yourFileAgainstInForce"] = DifferenceToJson(
      FilterVisible(aCall.mOperator, Compare(now->Spec(), aSubmitted), now->Spec(), aSubmitted));
  }
  if (now && base && base.value()) {
    const auto& from = base.value()->Spec();
    json["inForceAgainstYourBase"] = DifferenceToJson(
      FilterVisible(aCall.mOperator, Compare(from, now->Spec()), from, now->Spec()));
  }
  aCall.mResponse.set("Gentianloom-Outcome", "not-run");
  SendJson(aCall.mResponse, ToHttpStatus(aError.mCode), json);
}

void ConfigurationAdmin::HandleCheck(const AdminCall& aCall)
{
  const auto file = ReadConfigurationFile(aCall);
  if (!file) {
    return;
  }
  const auto inForce = mConfiguration.InForce();
  const auto& before = StatedOrEmpty(inForce);
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
    SendRejection(aCall, history.error());
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
  const auto inForce = mConfiguration.InForce();
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
  const auto& before = StatedOrEmpty(from);
  const auto& after = StatedOrEmpty(to);
  return FilterVisible(aCall.mOperator, Compare(before, after), before, after);
}

void ConfigurationAdmin::HandleDifference(const AdminCall& aCall)
{
  const auto from = FindQueryNumber(aCall.mQuery, "from");
  const auto to = FindQueryNumber(aCall.mQuery, "to");
  if (!from || !to) {
    SendRejection(aCall,
                  MakeError(ErrorCode::MissingKey,
                            Step::ApplicationCheck,
                            aCall.mOperator.mName,
                            "from and to must be version numbers; see `gentianloom history`"));
    return;
  }
  auto difference = ReadDifference(aCall, *from, *to);
  if (!difference) {
    SendRejection(aCall, difference.error());
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
  const auto to = FindQueryNumber(aCall.mQuery, "to");
  if (aCall.mOperator.mRole != OperatorRole::Owner || !to) {
    SendRejection(aCall,
                  MakeError(to ? ErrorCode::NotAllowed : ErrorCode::MissingKey,
                            Step::RequestAuthenticate,
                            aCall.mOperator.mName,
                            to ? "only an owner may roll back; ask an owner"
                               : "to must be a version number; see `gentianloom history`"));
    return;
  }
  mConfiguration.Refresh();
  const auto target = ReadVersion(*to);
  if (!target) {
    SendRejection(aCall, target.error());
    return;
  }
  ApplyAndRespond(aCall,
                  MakeRollbackConfiguration(StatedOrEmpty(mConfiguration.InForce()),
                                            StatedOrEmpty(target.value())),
                  "rollback to " + std::to_string(*to));
}

void ConfigurationAdmin::HandleApplication(const AdminCall& aCall)
{
  const auto id = aCall.mPath.substr(kApplicationsPrefix.size());
  auto found = mStore.FindByApplyId(id);
  if (!found) {
    SendRejection(aCall, found.error());
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
                      "no stored version results from " + id +
                        " so far; apply the same file again, which is safe"),
            Outcome::Unknown);
}

void ConfigurationAdmin::HandleAudit(const AdminCall& aCall)
{
  auto entries = ReadAudit(mKeyValueStore);
  if (!entries) {
    SendRejection(aCall, entries.error());
    return;
  }
  Json list = Json::array();
  for (const auto& it : entries.value()) {
    const bool isOwn = it.mOperator == aCall.mOperator.mName;
    if (isOwn || aCall.mOperator.mRole == OperatorRole::Owner) {
      list.push_back(AuditToJson(it));
    }
  }
  SendJson(aCall.mResponse, 200, { { "entries", list } });
}

Json ConfigurationAdmin::InstancesToJson() const
{
  Json out = Json::array();
  for (const auto& it : mInstances()) {
    out.push_back({ { "instance", it.mName },
                    { "zone", it.mZone },
                    { "standing", it.mMembershipState },
                    { "address", it.mAddress },
                    { "version", it.mVersion },
                    { "ageMs", it.mAgeMs } });
  }
  return out;
}

void ConfigurationAdmin::HandleStatus(const AdminCall& aCall)
{
  const auto standing = mConfiguration.Status();
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
             { "instances", InstancesToJson() } });
}

} // namespace gentianloom
