#include "gentianloom/control/EndpointController.h"

#include "gentianloom/base/Log.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kCycle{ 200 };
constexpr int kLooksPerCycle = 2; ///< of one shard
constexpr int kStepsPerCycle = 4; ///< of one job

} // namespace

EndpointController::EndpointController(KeyValueStore& aStore,
                                       std::unique_ptr<EngineControl> aEngines,
                                       std::unique_ptr<WeightStore> aWeights,
                                       ControlSources aSources,
                                       const std::string& aHolder,
                                       const ControlOptions& aRules,
                                       const Clock& aClock,
                                       Metrics& aMetrics)
  : mEngines(std::move(aEngines))
  , mWeights(std::move(aWeights))
  , mSources(std::move(aSources))
  , mRules(aRules)
  , mClock(aClock)
  , mLock(aStore, aHolder, aRules, aClock)
  , mLooks(aMetrics.CounterOf("gentianloom_control_looks_total"))
  , mOrders(aMetrics.CounterOf("gentianloom_control_orders_total"))
  , mFailures(aMetrics.CounterOf("gentianloom_control_failed_orders_total"))
  , mStuck(aMetrics.GaugeOf("gentianloom_control_stuck_endpoints"))
{
}

EndpointController::~EndpointController()
{
  Stop();
}

void EndpointController::Start()
{
  mThread = std::thread([this] { Run(); });
}

void EndpointController::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  for (const auto& it : mJobs) {
    if (it.mJob.Grant()) {
      mLock.Release(*it.mJob.Grant());
    }
  }
  mJobs.clear();
}

void EndpointController::SetAddress(const std::string& aEndpoint, const std::string& aAddress)
{
  const std::lock_guard lock(mMutex);
  mAddresses[aEndpoint] = aAddress;
}

std::string EndpointController::AddressOf(const std::string& aEndpoint) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mAddresses.find(aEndpoint);
  return it == mAddresses.end() ? std::string() : it->second;
}

void EndpointController::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    RunOnce();
    lock.lock();
    mWake.wait_for(lock, kCycle, [this] { return mStopping; });
  }
}

void EndpointController::RunOnce()
{
  Split();
  for (auto& [name, plan] : mPlans) {
    for (int n = 0; n < kLooksPerCycle; ++n) {
      Look(plan);
    }
    StartJobs(name, plan);
  }
  for (auto& it : mJobs) {
    Drive(it);
  }
  std::erase_if(mJobs, [](const Job& aJob) { return aJob.mOver; });
  Publish();
}

void EndpointController::Split()
{
  const auto configuration = mSources.mConfiguration();
  if (!configuration) {
    return;
  }
  const auto members = mSources.mRouters();
  std::vector<std::string> routers;
  routers.reserve(members.size());
  for (const auto& it : members) {
    routers.push_back(it.name);
  }
  const bool stated = configuration != mConfiguration;
  if (!stated && routers == mRouters) {
    return;
  }
  if (stated) {
    mShards = ShardsOf(*configuration);
  }
  mConfiguration = configuration;
  mRouters = routers;
  std::map<std::string, ShardPlanner> plans;
  for (const auto& it : mShards) {
    if (OwnerOf(it.mName, mRouters) != mRouters.front()) {
      continue;
    }
    const auto known = mPlans.find(it.mName);
    auto& plan =
      plans.emplace(it.mName, known == mPlans.end() ? ShardPlanner(mRules) : known->second)
        .first->second;
    plan.SetTargets(it.mTargets);
  }
  mPlans = std::move(plans);
  DropStaleJobs();
}

void EndpointController::DropStaleJobs()
{
  std::erase_if(mJobs, [this](const Job& aJob) {
    const auto plan = mPlans.find(aJob.mShard);
    if (plan != mPlans.end()) {
      const auto& records = plan->second.Records();
      const auto record = records.find(aJob.mNext.mEndpoint);
      if (record != records.end() &&
          record->second.mTarget.mEngineTarget == aJob.mJob.Target().mEngineTarget) {
        return false;
      }
      plan->second.LookSoon(aJob.mNext.mEndpoint);
    }
    if (aJob.mJob.Grant()) {
      mLock.Release(*aJob.mJob.Grant());
    }
    return true;
  });
}

std::optional<EngineStatus> EndpointController::ObserveEndpoint(const std::string& aEndpoint)
{
  mLooks.Add();
  const auto address = AddressOf(aEndpoint);
  if (address.empty()) {
    return std::nullopt;
  }
  auto answer = mEngines->Observe(address);
  return answer ? std::optional(answer.value()) : std::nullopt;
}

void EndpointController::Look(ShardPlanner& aPlan)
{
  const auto name = aPlan.NextToObserve(mClock.Now());
  if (name.empty()) {
    return;
  }
  const auto status = ObserveEndpoint(name);
  aPlan.OnObserved(name, status, mClock.Now());
  if (status && status->mConfigurationVersion > mConfiguration->Version()) {
    mSources.mRefresh();
  }
}

void EndpointController::StartJobs(const std::string& aShard, ShardPlanner& aPlan)
{
  while (true) {
    std::vector<PlannedJob> running;
    for (const auto& it : mJobs) {
      if (it.mShard == aShard) {
        running.push_back(it.mNext);
      }
    }
    const auto next = aPlan.Choose(running, mClock.Now());
    if (!next) {
      return;
    }
    const auto& target = aPlan.Records().at(next->mEndpoint).mTarget;
    mJobs.push_back({ aShard, *next, EndpointJob(target, mRules, mClock.Now()) });
    aPlan.OnJobRuns(next->mEndpoint, "starts");
  }
}

void EndpointController::Drive(Job& aJob)
{
  for (int n = 0; n < kStepsPerCycle && Step(aJob); ++n) {
    mPlans.at(aJob.mShard).OnJobRuns(aJob.mNext.mEndpoint, aJob.mJob.Reason());
  }
}

bool EndpointController::Step(Job& aJob)
{
  auto& job = aJob.mJob;
  switch (job.NextAction(mClock.Now())) {
    case JobAction::Wait:
      return false;
    case JobAction::RequestPermit:
      RequestPermit(aJob);
      return true;
    case JobAction::AcquireLock:
      AcquireLock(aJob);
      return true;
    case JobAction::RenewLock:
      job.OnRenewed(mLock.Renew(*job.Grant()), mClock.Now());
      return true;
    case JobAction::Send: {
      mOrders.Add();
      const auto answer = mEngines->Send(AddressOf(aJob.mNext.mEndpoint), job.Order());
      job.OnSent(answer, mClock.Now());
      return true;
    }
    case JobAction::Observe:
      Observe(aJob);
      return true;
    default:
      EndJob(aJob);
      return false;
  }
}

void EndpointController::RequestPermit(Job& aJob)
{
  const auto& target = aJob.mJob.Target().mEngineTarget;
  const auto permit = mWeights->RequestPermit(target.mModel + "@" + target.mVersion);
  const auto comeBack =
    permit ? Millis(0) : permit.error().mRetryAfter.value_or(mRules.mFirstBackoff);
  aJob.mJob.OnPermitResult(permit.has_value(), comeBack, mClock.Now());
}

void EndpointController::AcquireLock(Job& aJob)
{
  auto grant = mLock.Acquire(aJob.mShard, aJob.mNext.mEndpoint, aJob.mNext.mInterruptsServing);
  if (grant) {
    aJob.mJob.OnLockResult(grant.value(), {}, mClock.Now());
  } else {
    aJob.mJob.OnLockResult(std::nullopt, grant.error().mText, mClock.Now());
  }
}

void EndpointController::Observe(Job& aJob)
{
  const auto status = ObserveEndpoint(aJob.mNext.mEndpoint);
  mPlans.at(aJob.mShard).OnObserved(aJob.mNext.mEndpoint, status, mClock.Now());
  aJob.mJob.OnObserved(status, mClock.Now());
}

void EndpointController::EndJob(Job& aJob)
{
  const auto& job = aJob.mJob;
  aJob.mOver = true;
  if (job.Grant()) {
    mLock.Release(*job.Grant());
  }
  mFailures.Add(job.Outcome() == JobOutcome::Failed ? 1 : 0);
  if (job.Outcome() == JobOutcome::Behind || job.Outcome() == JobOutcome::Lapsed) {
    mSources.mRefresh(); // what this router wants may be old by now
  }
  mPlans.at(aJob.mShard).OnJobEnd(aJob.mNext.mEndpoint, job.Outcome(), job.Reason(), mClock.Now());
}

void EndpointController::Publish()
{
  const auto members = mSources.mRouters();
  const auto now = mClock.Now();
  std::vector<EndpointView> views;
  std::int64_t stuck = 0;
  for (const auto& shard : mShards) {
    const auto owner = OwnerOf(shard.mName, mRouters);
    const auto at = std::find_if(
      members.begin(), members.end(), [&](const auto& it) { return it.name == owner; });
    const auto address = at == members.end() ? std::string() : at->callerAddress;
    const auto plan = mPlans.find(shard.mName);
    for (const auto& target : shard.mTargets) {
      EndpointView view{ target.mName, shard.mName, owner, address, {}, {} };
      if (plan != mPlans.end()) {
        view.mRecord = plan->second.Records().at(target.mName);
        view.mAge = std::chrono::duration_cast<Millis>(now - view.mRecord->mLookedAt);
        stuck += view.mRecord->mStuck ? 1 : 0;
        auto& logged = mLogged[target.mName];
        if (logged != view.mRecord->mCondition) {
          logged = view.mRecord->mCondition;
          LogChange(logged == EndpointCondition::Stuck ? LogLevel::Warning : LogLevel::Info,
                    "control",
                    "condition of an endpoint changed",
                    { { "endpoint", target.mName },
                      { "condition", std::string(ToString(logged)) },
                      { "reason", view.mRecord->mReason } });
        }
      }
      views.push_back(std::move(view));
    }
  }
  mStuck.Set(stuck);
  const std::lock_guard lock(mMutex);
  mViews = std::move(views);
}

std::vector<EndpointView> EndpointController::View() const
{
  const std::lock_guard lock(mMutex);
  return mViews;
}

} // namespace gentianloom
