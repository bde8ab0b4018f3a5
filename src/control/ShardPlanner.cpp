#include "gentianloom/control/ShardPlanner.h"

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

EndpointTarget MakeTarget(const AcceptedConfiguration& aConfiguration, const EndpointSpec& aSpec)
{
  const auto* model = aConfiguration.Model(aSpec.mModel);
  EndpointTarget out;
  out.mName = aSpec.mName;
  out.mEngineTarget = { aSpec.mModel,
                        model == nullptr ? std::string() : model->mVersion,
                        aSpec.mAdapters,
                        std::string(RoleText(aSpec.mRole)) };
  std::sort(out.mEngineTarget.mAdapters.begin(), out.mEngineTarget.mAdapters.end());
  out.mConfigurationVersion = aConfiguration.Version();
  out.mChecksFencing = aSpec.mChecksFencing;
  return out;
}

bool IsSameStatus(const EngineStatus& aLeft, const EngineStatus& aRight)
{
  return aLeft.mTarget == aRight.mTarget && aLeft.mState == aRight.mState &&
         aLeft.mReason == aRight.mReason;
}

bool IsServing(const ControlRecord& aRecord)
{
  return aRecord.mIsReachable && aRecord.mStatus && aRecord.mStatus->mState == EngineState::Ready &&
         aRecord.mStatus->mTarget.mModel == aRecord.mTarget.mEngineTarget.mModel;
}

} // namespace

std::string_view ToString(EndpointCondition aCondition)
{
  return kConditionNames.at(static_cast<std::size_t>(aCondition));
}

std::vector<Shard> SplitIntoShards(const AcceptedConfiguration& aConfiguration)
{
  std::map<std::string, std::vector<EndpointTarget>> models;
  for (const auto& it : aConfiguration.Spec().mEndpoints) {
    if (!it.mModel.empty()) {
      models[it.mModel].push_back(MakeTarget(aConfiguration, it));
    }
  }
  std::vector<Shard> out;
  for (auto& [model, targets] : models) {
    const auto count = (targets.size() + kMaxEndpointsPerShard - 1) / kMaxEndpointsPerShard;
    const auto first = out.size();
    for (std::size_t n = 0; n < count; ++n) {
      out.push_back({ model + "/" + std::to_string(n), {} });
    }
    for (auto& it : targets) {
      const auto index = first + StableHash(it.mName) % count;
      out[index].mTargets.push_back(std::move(it));
    }
  }
  return out;
}

std::string SelectOwner(std::string_view aShard, std::span<const std::string> aRouters)
{
  const auto seed = StableHash(aShard);
  const auto best =
    std::max_element(aRouters.begin(), aRouters.end(), [&](const auto& aLeft, const auto& aRight) {
      return StableHash(aLeft, seed) < StableHash(aRight, seed);
    });
  return best == aRouters.end() ? std::string() : *best;
}

void ShardPlanner::SetTargets(const std::vector<EndpointTarget>& aTargets)
{
  std::map<std::string, ControlRecord> records;
  for (const auto& it : aTargets) {
    auto& record = records[it.mName];
    const auto previous = mRecords.find(it.mName);
    if (previous != mRecords.end()) {
      record = previous->second;
    }
    if (previous == mRecords.end() ||
        !(previous->second.mTarget.mEngineTarget == it.mEngineTarget)) {
      record.mFailedTries = 0;
      record.mNextTryAt = {};
      record.mIsStuck = false;
      record.mIsObserved = false;
      record.mCondition = EndpointCondition::Unknown;
      record.mReason.clear();
    }
    record.mTarget = it;
  }
  mRecords = std::move(records);
}

std::string ShardPlanner::NextToObserve(TimePoint aNow) const
{
  const ControlRecord* oldest = nullptr;
  for (const auto& [name, record] : mRecords) {
    const bool isDue =
      !record.mIsObserved || aNow - record.mObservedAt >= mOptions.mIdleObserveInterval;
    if (isDue && (oldest == nullptr || record.mObservedAt < oldest->mObservedAt)) {
      oldest = &record;
    }
  }
  return oldest == nullptr ? std::string() : oldest->mTarget.mName;
}

void ShardPlanner::ScheduleObservation(const std::string& aEndpoint)
{
  const auto it = mRecords.find(aEndpoint);
  if (it != mRecords.end()) {
    it->second.mIsObserved = false;
  }
}

void ShardPlanner::OnObserved(const std::string& aEndpoint,
                              const std::optional<EngineStatus>& aStatus,
                              TimePoint aNow)
{
  const auto it = mRecords.find(aEndpoint);
  if (it == mRecords.end()) {
    return;
  }
  auto& record = it->second;
  record.mIsObserved = true;
  record.mObservedAt = aNow;
  record.mIsReachable = aStatus.has_value();
  if (aStatus) {
    record.mStatus = aStatus;
  }
  if (!aStatus || !record.mIsStuck) {
    return;
  }
  if (!record.mStatusWhenStuck) {
    record.mStatusWhenStuck = aStatus;
  } else if (!IsSameStatus(*aStatus, *record.mStatusWhenStuck)) {
    record.mIsStuck = false;
    record.mFailedTries = 0;
    record.mNextTryAt = {};
    record.mCondition = EndpointCondition::Unknown;
  }
}

/// Returns whether the engine is loading its target by an order of another job and has not exceeded
/// the load timeout yet. Keeps track of when the loading began.
bool ShardPlanner::IsLoadingTarget(ControlRecord& aRecord, TimePoint aNow) const
{
  const auto& status = *aRecord.mStatus;
  if (status.mState != EngineState::Loading || status.mTarget != aRecord.mTarget.mEngineTarget) {
    aRecord.mLoadingSince.reset();
    return false;
  }
  aRecord.mLoadingSince = aRecord.mLoadingSince.value_or(aNow);
  return aNow - *aRecord.mLoadingSince < mOptions.mLoadTimeout;
}

/// Updates the condition of an endpoint that has no job. Returns whether it needs a job and the
/// backoff after its last try has passed.
bool ShardPlanner::UpdateCondition(ControlRecord& aRecord, TimePoint aNow) const
{
  if (!aRecord.mIsObserved) {
    return false;
  }
  if (aRecord.mIsStuck) {
    aRecord.mCondition = EndpointCondition::Stuck;
    return false;
  }
  if (!aRecord.mIsReachable) {
    aRecord.mCondition = EndpointCondition::Unreachable;
    aRecord.mReason = "the engine does not answer";
    return false;
  }
  const auto& status = *aRecord.mStatus;
  if (status.mTarget == aRecord.mTarget.mEngineTarget && status.mState == EngineState::Ready) {
    aRecord.mCondition = EndpointCondition::InForce;
    aRecord.mReason.clear();
    aRecord.mFailedTries = 0;
    return false;
  }
  if (status.mConfigurationVersion > aRecord.mTarget.mConfigurationVersion) {
    aRecord.mCondition = EndpointCondition::Behind;
    aRecord.mReason = "the engine holds an order of a newer configuration";
    return false;
  }
  if (IsLoadingTarget(aRecord, aNow)) {
    aRecord.mCondition = EndpointCondition::Working;
    aRecord.mReason = "the engine is loading";
    return false;
  }
  if (aRecord.mCondition != EndpointCondition::Waiting) {
    aRecord.mCondition = EndpointCondition::Waiting;
    aRecord.mReason = "waiting to be scheduled";
  }
  return aNow >= aRecord.mNextTryAt;
}

std::optional<PlannedJob> ShardPlanner::Choose(std::span<const PlannedJob> aRunning, TimePoint aNow)
{
  const auto isRunning = [&](const std::string& aName) {
    return std::any_of(
      aRunning.begin(), aRunning.end(), [&](const auto& it) { return it.mEndpoint == aName; });
  };
  const bool isServingInterrupted = std::any_of(
    aRunning.begin(), aRunning.end(), [](const auto& it) { return it.mInterruptsServing; });
  const auto servingCount =
    static_cast<std::size_t>(std::count_if(mRecords.begin(), mRecords.end(), [&](const auto& it) {
      return IsServing(it.second) && !isRunning(it.first);
    }));
  const auto minServing =
    static_cast<std::size_t>(mOptions.mMinServingShare * static_cast<double>(mRecords.size()));
  std::optional<PlannedJob> out;
  for (auto& [name, record] : mRecords) {
    if (isRunning(name) || !UpdateCondition(record, aNow)) {
      continue;
    }
    const bool isServing = IsServing(record);
    const bool mayStart = !isServing || (!isServingInterrupted && servingCount > minServing);
    if (!mayStart) {
      record.mReason = "waiting so that enough other endpoints of the model keep serving";
    } else if (!out && aRunning.size() < mOptions.mMaxJobsPerShard) {
      out = PlannedJob{ name, isServing };
    }
  }
  return out;
}

void ShardPlanner::OnJobProgress(const std::string& aEndpoint, const std::string& aReason)
{
  const auto it = mRecords.find(aEndpoint);
  if (it != mRecords.end()) {
    it->second.mCondition = EndpointCondition::Working;
    it->second.mReason = aReason;
  }
}

void ShardPlanner::OnJobEnd(const std::string& aEndpoint,
                            JobOutcome aOutcome,
                            const std::string& aReason,
                            TimePoint aNow)
{
  const auto it = mRecords.find(aEndpoint);
  if (it == mRecords.end()) {
    return;
  }
  auto& record = it->second;
  record.mIsObserved = false; // observe it before the next decision
  record.mCondition = EndpointCondition::Waiting;
  record.mReason = aReason;
  if (aOutcome == JobOutcome::LockUnavailable) {
    record.mNextTryAt = aNow + mOptions.mInitialBackoff;
  }
  if (aOutcome != JobOutcome::Failed) {
    return;
  }
  ++record.mFailedTries;
  const auto backoff = mOptions.mInitialBackoff * (1 << std::min(record.mFailedTries - 1, 16));
  record.mNextTryAt = aNow + std::min(mOptions.mMaxBackoff, Millis(backoff));
  if (record.mFailedTries >= mOptions.mMaxTries) {
    record.mIsStuck = true;
    record.mStatusWhenStuck.reset();
    record.mCondition = EndpointCondition::Stuck;
    record.mReason = aReason + "; failed " + std::to_string(record.mFailedTries) +
                     " times, not tried again until the target or the endpoint changes";
  }
}

} // namespace gentianloom
