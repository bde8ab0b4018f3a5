#include "gentianloom/control/EndpointController.h"

#include "gentianloom/base/Log.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kCycleInterval{ 200 };
constexpr int kObservationsPerShard = 2; ///< in one cycle
constexpr int kActionsPerJob = 4;        ///< in one cycle

} // namespace

EndpointController::EndpointController(KeyValueStore& aStore,
                                       std::unique_ptr<EngineControl> aEngines,
                                       std::unique_ptr<WeightStore> aWeights,
                                       ControlSources aSources,
                                       const std::string& aHolder,
                                       const ControlOptions& aOptions,
                                       const Clock& aClock,
                                       Metrics& aMetrics)
  : mEngines(std::move(aEngines))
  , mWeights(std::move(aWeights))
  , mSources(std::move(aSources))
  , mOptions(aOptions)
  , mClock(aClock)
  , mLock(aStore, aHolder, aOptions, aClock)
  , mObservations(aMetrics.CounterOf("gentianloom_control_looks_total"))
  , mOrders(aMetrics.CounterOf("gentianloom_control_orders_total"))
  , mFailedOrders(aMetrics.CounterOf("gentianloom_control_failed_orders_total"))
  , mStuckEndpoints(aMetrics.GaugeOf("gentianloom_control_stuck_endpoints"))
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
    mIsStopping = true;
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
  while (!mIsStopping) {
    lock.unlock();
    RunOnce();
    lock.lock();
    mWake.wait_for(lock, kCycleInterval, [this] { return mIsStopping; });
  }
}

void EndpointController::RunOnce()
{
  UpdateShards();
  for (auto& [name, planner] : mPlanners) {
    for (int n = 0; n < kObservationsPerShard; ++n) {
      ObserveNext(planner);
    }
    StartJobs(name, planner);
  }
  for (auto& it : mJobs) {
    AdvanceJob(it);
  }
  std::erase_if(mJobs, [](const RunningJob& aJob) { return aJob.mIsFinished; });
  UpdateViews();
}

void EndpointController::UpdateShards()
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
  const bool isNewConfiguration = configuration != mConfiguration;
  if (!isNewConfiguration && routers == mRouters) {
    return;
  }
  if (isNewConfiguration) {
    mShards = SplitIntoShards(*configuration);
  }
  mConfiguration = configuration;
  mRouters = routers;
  std::map<std::string, ShardPlanner> planners;
  for (const auto& it : mShards) {
    if (SelectOwner(it.mName, mRouters) != mRouters.front()) {
      continue;
    }
    const auto existing = mPlanners.find(it.mName);
    auto& planner =
      planners
        .emplace(it.mName, existing == mPlanners.end() ? ShardPlanner(mOptions) : existing->second)
        .first->second;
    planner.SetTargets(it.mTargets);
  }
  mPlanners = std::move(planners);
  CancelStaleJobs();
}

void EndpointController::CancelStaleJobs()
{
  std::erase_if(mJobs, [this](const RunningJob& aJob) {
    const auto planner = mPlanners.find(aJob.mShard);
    if (planner != mPlanners.end()) {
      const auto& records = planner->second.Records();
      const auto record = records.find(aJob.mPlan.mEndpoint);
      if (record != records.end() &&
          record->second.mTarget.mEngineTarget == aJob.mJob.Target().mEngineTarget) {
        return false;
      }
      planner->second.ScheduleObservation(aJob.mPlan.mEndpoint);
    }
    if (aJob.mJob.Grant()) {
      mLock.Release(*aJob.mJob.Grant());
    }
    return true;
  });
}

std::optional<EngineStatus> EndpointController::ObserveEndpoint(const std::string& aEndpoint)
{
  mObservations.Add();
  const auto address = AddressOf(aEndpoint);
  if (address.empty()) {
    return std::nullopt;
  }
  auto answer = mEngines->Observe(address);
  return answer ? std::optional(answer.value()) : std::nullopt;
}

void EndpointController::ObserveNext(ShardPlanner& aPlanner)
{
  const auto name = aPlanner.NextToObserve(mClock.Now());
  if (name.empty()) {
    return;
  }
  const auto status = ObserveEndpoint(name);
  aPlanner.OnObserved(name, status, mClock.Now());
  if (status && status->mConfigurationVersion > mConfiguration->Version()) {
    mSources.mRefresh();
  }
}

void EndpointController::StartJobs(const std::string& aShard, ShardPlanner& aPlanner)
{
  while (true) {
    std::vector<PlannedJob> running;
    for (const auto& it : mJobs) {
      if (it.mShard == aShard) {
        running.push_back(it.mPlan);
      }
    }
    const auto next = aPlanner.Choose(running, mClock.Now());
    if (!next) {
      return;
    }
    const auto& target = aPlanner.Records().at(next->mEndpoint).mTarget;
    mJobs.push_back({ aShard, *next, EndpointJob(target, mOptions, mClock.Now()) });
    aPlanner.OnJobProgress(next->mEndpoint, "the job starts");
  }
}

void EndpointController::AdvanceJob(RunningJob& aJob)
{
  for (int n = 0; n < kActionsPerJob && RunNextAction(aJob); ++n) {
    mPlanners.at(aJob.mShard).OnJobProgress(aJob.mPlan.mEndpoint, aJob.mJob.Reason());
  }
}

bool EndpointController::RunNextAction(RunningJob& aJob)
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
      const auto result = mEngines->Send(AddressOf(aJob.mPlan.mEndpoint), job.Order());
      job.OnSent(result, mClock.Now());
      return true;
    }
    case JobAction::Observe:
      VerifyOrder(aJob);
      return true;
    default:
      FinishJob(aJob);
      return false;
  }
}

void EndpointController::RequestPermit(RunningJob& aJob)
{
  const auto& target = aJob.mJob.Target().mEngineTarget;
  const auto permit = mWeights->RequestPermit(target.mModel + "@" + target.mVersion);
  const auto retryAfter =
    permit ? Millis(0) : permit.error().mRetryAfter.value_or(mOptions.mInitialBackoff);
  aJob.mJob.OnPermitResult(permit.has_value(), retryAfter, mClock.Now());
}

void EndpointController::AcquireLock(RunningJob& aJob)
{
  auto grant = mLock.Acquire(aJob.mShard, aJob.mPlan.mEndpoint, aJob.mPlan.mInterruptsServing);
  if (grant) {
    aJob.mJob.OnLockResult(grant.value(), {}, mClock.Now());
  } else {
    aJob.mJob.OnLockResult(std::nullopt, grant.error().mText, mClock.Now());
  }
}

void EndpointController::VerifyOrder(RunningJob& aJob)
{
  const auto status = ObserveEndpoint(aJob.mPlan.mEndpoint);
  mPlanners.at(aJob.mShard).OnObserved(aJob.mPlan.mEndpoint, status, mClock.Now());
  aJob.mJob.OnObserved(status, mClock.Now());
}

void EndpointController::FinishJob(RunningJob& aJob)
{
  const auto& job = aJob.mJob;
  aJob.mIsFinished = true;
  if (job.Grant()) {
    mLock.Release(*job.Grant());
  }
  mFailedOrders.Add(job.Outcome() == JobOutcome::Failed ? 1 : 0);
  if (job.Outcome() == JobOutcome::Superseded || job.Outcome() == JobOutcome::LockLost) {
    mSources.mRefresh(); // this router's configuration may be out of date
  }
  mPlanners.at(aJob.mShard)
    .OnJobEnd(aJob.mPlan.mEndpoint, job.Outcome(), job.Reason(), mClock.Now());
}

void EndpointController::UpdateViews()
{
  const auto members = mSources.mRouters();
  const auto now = mClock.Now();
  std::vector<EndpointView> views;
  std::int64_t stuck = 0;
  for (const auto& shard : mShards) {
    const auto owner = SelectOwner(shard.mName, mRouters);
    const auto member = std::find_if(
      members.begin(), members.end(), [&](const auto& it) { return it.name == owner; });
    const auto address = member == members.end() ? std::string() : member->callerAddress;
    const auto planner = mPlanners.find(shard.mName);
    for (const auto& target : shard.mTargets) {
      EndpointView view{ target.mName, shard.mName, owner, address, {}, {} };
      if (planner != mPlanners.end()) {
        view.mRecord = planner->second.Records().at(target.mName);
        view.mAge = std::chrono::duration_cast<Millis>(now - view.mRecord->mObservedAt);
        stuck += view.mRecord->mIsStuck ? 1 : 0;
        auto& logged = mLoggedConditions[target.mName];
        if (logged != view.mRecord->mCondition) {
          logged = view.mRecord->mCondition;
          LogChange(logged == EndpointCondition::Stuck ? LogLevel::Warning : LogLevel::Info,
                    "control",
                    "condition of endpoint changed",
                    { { "endpoint", target.mName },
                      { "condition", std::string(ToString(logged)) },
                      { "reason", view.mRecord->mReason } });
        }
      }
      views.push_back(std::move(view));
    }
  }
  mStuckEndpoints.Set(stuck);
  const std::lock_guard lock(mMutex);
  mViews = std::move(views);
}

std::vector<EndpointView> EndpointController::View() const
{
  const std::lock_guard lock(mMutex);
  return mViews;
}

} // namespace gentianloom
