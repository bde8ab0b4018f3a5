#include "gentianloom/control/ShardPlan.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <array>

namespace gentianloom {

namespace {

constexpr std::array<std::string_view, 7> kConditionNames = {
  "unknown", "in-force", "working", "waiting", "stuck", "unreachable", "behind",
};

std::string_view RoleText(EndpointRole aRole)
{
  switch (aRole) {
    case EndpointRole::Prefill:
      return "prefill";
    case EndpointRole::Decode:
      return "decode";
    default:
      return "both";
  }
}

EndpointTarget TargetOf(const AcceptedConfiguration& aConfiguration, const EndpointSpec& aSpec)
{
  const auto* model = aConfiguration.Model(aSpec.mModel);
  EndpointTarget out;
  out.mName = aSpec.mName;
  out.mTarget = { aSpec.mModel,
                  model == nullptr ? std::string() : model->mVersion,
                  aSpec.mAdapters,
                  std::string(RoleText(aSpec.mRole)) };
  std::sort(out.mTarget.mAdapters.begin(), out.mTarget.mAdapters.end());
  out.mConfigurationVersion = aConfiguration.Version();
  out.mChecksFencing = aSpec.mChecksFencing;
  return out;
}

bool SameStatus(const EngineStatus& aLeft, const EngineStatus& aRight)
{
  return aLeft.mTarget == aRight.mTarget && aLeft.mState == aRight.mState &&
         aLeft.mReason == aRight.mReason;
}

bool Serves(const ControlRecord& aRecord)
{
  return aRecord.mReached && aRecord.mStatus && aRecord.mStatus->mState == EngineState::Ready &&
         aRecord.mStatus->mTarget.mModel == aRecord.mTarget.mTarget.mModel;
}

} // namespace

std::string_view ToString(Condition aCondition)
{
  return kConditionNames.at(static_cast<std::size_t>(aCondition));
}

std::vector<Shard> ShardsOf(const AcceptedConfiguration& aConfiguration)
{
  std::map<std::string, std::vector<EndpointTarget>> models;
  for (const auto& it : aConfiguration.Spec().mEndpoints) {
    if (!it.mModel.empty()) {
      models[it.mModel].push_back(TargetOf(aConfiguration, it));
    }
  }
  std::vector<Shard> out;
  for (auto& [model, targets] : models) {
    const auto count = (targets.size() + kMostInShard - 1) / kMostInShard;
    const auto first = out.size();
    for (std::size_t n = 0; n < count; ++n) {
      out.push_back({ model + "/" + std::to_string(n), {} });
    }
    for (auto& it : targets) {
      const auto at = first + StableHash(it.mName) % count;
      out[at].mTargets.push_back(std::move(it));
    }
  }
  return out;
}

std::string OwnerOf(std::string_view aShard, std::span<const std::string> aRouters)
{
  const auto seed = StableHash(aShard);
  const auto best =
    std::max_element(aRouters.begin(), aRouters.end(), [&](const auto& aLeft, const auto& aRight) {
      return StableHash(aLeft, seed) < StableHash(aRight, seed);
    });
  return best == aRouters.end() ? std::string() : *best;
}

void ShardPlan::State(const std::vector<EndpointTarget>& aTargets)
{
  std::map<std::string, ControlRecord> records;
  for (const auto& it : aTargets) {
    auto& record = records[it.mName];
    const auto known = mRecords.find(it.mName);
    if (known != mRecords.end()) {
      record = known->second;
    }
    if (known == mRecords.end() || !(known->second.mTarget.mTarget == it.mTarget)) {
      record.mTries = 0;
      record.mNotBefore = {};
      record.mStuck = false;
      record.mLooked = false;
      record.mCondition = Condition::Unknown;
      record.mReason.clear();
    }
    record.mTarget = it;
  }
  mRecords = std::move(records);
}

std::string ShardPlan::NextLook(TimePoint aNow) const
{
  const ControlRecord* oldest = nullptr;
  for (const auto& [name, record] : mRecords) {
    const bool due = !record.mLooked || aNow - record.mLookedAt >= mRules.mIdlePoll;
    if (due && (oldest == nullptr || record.mLookedAt < oldest->mLookedAt)) {
      oldest = &record;
    }
  }
  return oldest == nullptr ? std::string() : oldest->mTarget.mName;
}

void ShardPlan::LookSoon(const std::string& aEndpoint)
{
  const auto it = mRecords.find(aEndpoint);
  if (it != mRecords.end()) {
    it->second.mLooked = false;
  }
}

void ShardPlan::OnLook(const std::string& aEndpoint,
                       const std::optional<EngineStatus>& aStatus,
                       TimePoint aNow)
{
  const auto it = mRecords.find(aEndpoint);
  if (it == mRecords.end()) {
    return;
  }
  auto& record = it->second;
  record.mLooked = true;
  record.mLookedAt = aNow;
  record.mReached = aStatus.has_value();
  if (aStatus) {
    record.mStatus = aStatus;
  }
  if (!aStatus || !record.mStuck) {
    return;
  }
  if (!record.mStuckWith) {
    record.mStuckWith = aStatus;
  } else if (!SameStatus(*aStatus, *record.mStuckWith)) {
    record.mStuck = false;
    record.mTries = 0;
    record.mNotBefore = {};
    record.mCondition = Condition::Unknown;
  }
}

/// It loads what is stated by an earlier holder's order, and not for too long yet.
bool ShardPlan::LoadsStated(ControlRecord& aRecord, TimePoint aNow) const
{
  const auto& status = *aRecord.mStatus;
  if (status.mState != EngineState::Loading || status.mTarget != aRecord.mTarget.mTarget) {
    aRecord.mLoadingSince.reset();
    return false;
  }
  aRecord.mLoadingSince = aRecord.mLoadingSince.value_or(aNow);
  return aNow - *aRecord.mLoadingSince < mRules.mLoadLimit;
}

bool ShardPlan::Wanted(ControlRecord& aRecord, TimePoint aNow) const
{
  if (!aRecord.mLooked) {
    return false;
  }
  if (aRecord.mStuck) {
    aRecord.mCondition = Condition::Stuck;
    return false;
  }
  if (!aRecord.mReached) {
    aRecord.mCondition = Condition::Unreachable;
    aRecord.mReason = "the engine does not answer";
    return false;
  }
  const auto& status = *aRecord.mStatus;
  if (status.mTarget == aRecord.mTarget.mTarget && status.mState == EngineState::Ready) {
    aRecord.mCondition = Condition::InForce;
    aRecord.mReason.clear();
    aRecord.mTries = 0;
    return false;
  }
  if (status.mConfigurationVersion > aRecord.mTarget.mConfigurationVersion) {
    aRecord.mCondition = Condition::Behind;
    aRecord.mReason = "the engine holds an order of a newer configuration";
    return false;
  }
  if (LoadsStated(aRecord, aNow)) {
    aRecord.mCondition = Condition::Working;
    aRecord.mReason = "loads";
    return false;
  }
  if (aRecord.mCondition != Condition::Waiting) {
    aRecord.mCondition = Condition::Waiting;
    aRecord.mReason = "waits for its turn";
  }
  return aNow >= aRecord.mNotBefore;
}

std::optional<NextJob> ShardPlan::Choose(std::span<const NextJob> aRunning, TimePoint aNow)
{
  const auto running = [&](const std::string& aName) {
    return std::any_of(
      aRunning.begin(), aRunning.end(), [&](const auto& it) { return it.mEndpoint == aName; });
  };
  const bool disturbing =
    std::any_of(aRunning.begin(), aRunning.end(), [](const auto& it) { return it.mDisturbs; });
  const auto serving =
    static_cast<std::size_t>(std::count_if(mRecords.begin(), mRecords.end(), [&](const auto& it) {
      return Serves(it.second) && !running(it.first);
    }));
  const auto kept =
    static_cast<std::size_t>(mRules.mServingShare * static_cast<double>(mRecords.size()));
  std::optional<NextJob> out;
  for (auto& [name, record] : mRecords) {
    if (running(name) || !Wanted(record, aNow)) {
      continue;
    }
    const bool serves = Serves(record);
    const bool allowed = !serves || (!disturbing && serving > kept);
    if (!allowed) {
      record.mReason = "waits: enough other endpoints of the model must serve meanwhile";
    } else if (!out && aRunning.size() < mRules.mMostJobs) {
      out = NextJob{ name, serves };
    }
  }
  return out;
}

void ShardPlan::OnJobRuns(const std::string& aEndpoint, const std::string& aReason)
{
  const auto it = mRecords.find(aEndpoint);
  if (it != mRecords.end()) {
    it->second.mCondition = Condition::Working;
    it->second.mReason = aReason;
  }
}

void ShardPlan::OnJobEnd(const std::string& aEndpoint,
                         JobEnd aEnd,
                         const std::string& aReason,
                         TimePoint aNow)
{
  const auto it = mRecords.find(aEndpoint);
  if (it == mRecords.end()) {
    return;
  }
  auto& record = it->second;
  record.mLooked = false; // look again before anything else is decided
  record.mCondition = Condition::Waiting;
  record.mReason = aReason;
  if (aEnd == JobEnd::Busy) {
    record.mNotBefore = aNow + mRules.mFirstBackoff;
  }
  if (aEnd != JobEnd::Failed) {
    return;
  }
  ++record.mTries;
  const auto doubled = mRules.mFirstBackoff * (1 << std::min(record.mTries - 1, 16));
  record.mNotBefore = aNow + std::min(mRules.mMostBackoff, Millis(doubled));
  if (record.mTries >= mRules.mMostTries) {
    record.mStuck = true;
    record.mStuckWith.reset();
    record.mCondition = Condition::Stuck;
    record.mReason = aReason + "; tried " + std::to_string(record.mTries) +
                     " times, not again until what is stated, or the endpoint, changes";
  }
}

} // namespace gentianloom
