#include "ConfigurationSimulation.h"

namespace gentianloom::fault {

namespace {

Error NoResponse(Step aStep)
{
  return MakeError(ErrorCode::PlatformUnavailable, aStep, "service", "no response");
}

Configuration MakeConfiguration(int aFile)
{
  Configuration out;
  out.mDeployment = "matrix";
  out.mTeams = { { "team" } };
  for (int n = 0; n <= aFile % 7; ++n) {
    const auto number = std::to_string(n);
    out.mBudgets.push_back({ "budget-" + number, 1'000 + aFile });
    out.mOrganisations.push_back({ "org-" + number, "team", "budget-" + number, {}, 1, 0 });
  }
  return out;
}

} // namespace

void FaultyStoreClient::DeliverDelayedWrites()
{
  for (const auto& it : mDelayedWrites) {
    mStore.Commit(it, Step::ApplicationCommit);
  }
  mDelayedWrites.clear();
}

Result<RangeResponse> FaultyStoreClient::Range(std::string_view aKey, bool aIsPrefix, Step aStep)
{
  if (mIsDown || mDropsResponses || mDelaysWrites) {
    return NoResponse(aStep);
  }
  if (mStaleEntries == nullptr) {
    return mStore.Range(aKey, aIsPrefix, aStep);
  }
  RangeResponse out;
  for (const auto& it : *mStaleEntries) {
    if (aIsPrefix ? it.mKey.starts_with(aKey) : it.mKey == aKey) {
      out.mEntries.push_back(it);
    }
  }
  return out;
}

CommitResult FaultyStoreClient::Commit(const Transaction& aTransaction, Step aStep)
{
  if (mBeforeCommit) {
    mBeforeCommit(aStep);
  }
  CommitResult lostAnswer;
  lostAnswer.mError = NoResponse(aStep);
  if (mIsDown) {
    return lostAnswer;
  }
  if (mDelaysWrites) {
    mDelayedWrites.push_back(aTransaction);
    return lostAnswer;
  }
  auto transaction = aTransaction;
  if (mDropsConditions) {
    transaction.mCompares.clear();
  }
  const auto answer = mStore.Commit(transaction, aStep);
  return mDropsResponses || mLostResponses-- > 0 ? lostAnswer : answer;
}

Result<void> FaultyStoreClient::Watch(
  std::string_view /*aPrefix*/,
  Revision /*aFrom*/,
  Millis /*aTimeout*/,
  const std::function<bool(const std::vector<WatchEvent>&, Revision)>& /*aOnEvents*/,
  Step /*aStep*/)
{
  return success(); // the simulated routers poll instead
}

ConfigurationSimulation::ConfigurationSimulation(std::uint64_t aSeed, std::string aMutant)
  : mMutant(std::move(aMutant))
{
  for (std::size_t n = 0; n < kRouterCount; ++n) {
    mStores[n] = std::make_unique<FaultyStoreClient>(mService);
    mStores[n]->mDropsConditions = mMutant == "head updated without conditions";
    mRouters[n] = std::make_unique<RouterState>();
  }
  const int versions = 2 + static_cast<int>(aSeed % 3);
  for (int n = 0; n < versions; ++n) {
    Apply(static_cast<std::size_t>(n) % kRouterCount, n, "before-" + std::to_string(n));
    for (std::size_t router = 0; router < kRouterCount; ++router) {
      PollStore(router);
    }
    if (n == 0) {
      mOldEntries = mService.Range("/gentianloom/", true, Step::Settings).value().mEntries;
      mOldVersion = mRouters[0]->mSnapshot;
    }
  }
}

void ConfigurationSimulation::RecordViolation(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = aText + "; events:" + mEventLog;
  }
}

ReportedOutcome ConfigurationSimulation::Retry(std::size_t aRouter,
                                               int aFile,
                                               const std::string& aApplyId)
{
  const auto outcome = Apply(aRouter, aFile, aApplyId);
  // "Not run" applies to the second call only; the writes of the first may still be delayed.
  if (outcome == ReportedOutcome::NotRun) {
    mReportedOutcomes[aApplyId] = ReportedOutcome::Unknown;
  }
  return outcome;
}

ReportedOutcome ConfigurationSimulation::Apply(std::size_t aRouter,
                                               int aFile,
                                               const std::string& aApplyId)
{
  ConfigurationStore store(*mStores[aRouter]);
  ApplyRequest request;
  request.mOperator = "operator-" + std::to_string(aRouter);
  request.mApplyId = aApplyId;
  const auto base = mRouters[aRouter]->mGuard.InForce().mVersion;
  request.mBaseVersion = base;
  request.mHighestKnown = mRouters[aRouter]->mGuard.HighestKnown();
  ReportedOutcome outcome = ReportedOutcome::Unknown;
  try {
    const auto answer = store.Apply(MakeConfiguration(aFile), request);
    const bool isLost = !answer && answer.error().mCode == ErrorCode::PlatformAnswerLost;
    outcome = isLost ? ReportedOutcome::Unknown : ReportedOutcome::NotRun;
    outcome = answer ? ReportedOutcome::Done : outcome;
    if (answer && !answer.value().mChanged) {
      CheckUnchangedReply(aFile);
      return outcome;
    }
    if (isLost && mMutant == "lost response reported as not run") {
      outcome = ReportedOutcome::NotRun;
    }
  } catch (const RouterKilled&) {
    Restart(aRouter);
  }
  // A retry through another router may have recorded an outcome during the call; it stays.
  if (!mReportedOutcomes.contains(aApplyId)) {
    mReportedOutcomes[aApplyId] = outcome;
  }
  CheckInvariants("apply " + aApplyId);
  return outcome;
}

void ConfigurationSimulation::CheckUnchangedReply(int aFile)
{
  CheckInvariants("nothing changed");
  ConfigurationStore store(mService);
  if (store.ReadHead().value().mDigest !=
      SplitConfiguration(MakeConfiguration(aFile)).value().mDigest) {
    RecordViolation("an operator was told that nothing changed, but another version is accepted");
  }
}

void ConfigurationSimulation::PutInForce(RouterState& aRouter,
                                         const ConfigurationSnapshot& aVersion)
{
  const VersionId id{ aVersion.mHead.mVersion, aVersion.mHead.mDigest };
  const bool acceptsAny = mMutant == "router accepts any version";
  if (aRouter.mGuard.PutInForce(id) || acceptsAny) {
    aRouter.mSnapshot = aVersion;
    aRouter.mProvider.Publish(aVersion);
  }
}

void ConfigurationSimulation::PollStore(std::size_t aRouter)
{
  auto& router = *mRouters[aRouter];
  ConfigurationStore store(*mStores[aRouter]);
  const auto head = store.ReadHead();
  if (head) {
    router.mGuard.OnHead({ head.value().mVersion, head.value().mDigest }, mClock.Now());
    const auto accepted = store.ReadConfiguration(head.value(), router.mSnapshot.mAccepted);
    if (accepted && accepted.value()) {
      PutInForce(router, { head.value(), accepted.value() });
    }
  }
  CheckInvariants("router " + std::to_string(aRouter) + " reads the service");
}

void ConfigurationSimulation::PollPeers(std::size_t aRouter)
{
  auto& router = *mRouters[aRouter];
  const FetchFunction fetch =
    [this](const std::string& aAddress,
           const wire::ConfigurationRequest& aRequest) -> Result<wire::ConfigurationAnswer> {
    return mRouters[std::stoul(aAddress)]->mProvider.Answer(aRequest);
  };
  for (std::size_t n = 0; n < kRouterCount && !mPeersCutOff; ++n) {
    if (n == aRouter) {
      continue;
    }
    const auto fetched = FetchFromPeer(
      fetch, std::to_string(n), router.mSnapshot, router.mSnapshot.mHead.mVersion + 1);
    if (fetched) {
      PutInForce(router, fetched.value());
    }
  }
  CheckInvariants("router " + std::to_string(aRouter) + " asks peers");
}

void ConfigurationSimulation::Restart(std::size_t aRouter)
{
  mRouters[aRouter] = std::make_unique<RouterState>();
  mStores[aRouter]->mBeforeCommit = nullptr;
  PollStore(aRouter);
  PollPeers(aRouter);
  const auto version = mRouters[aRouter]->mSnapshot.mHead.mVersion;
  for (std::size_t n = 0; n < kRouterCount && !mPeersCutOff; ++n) {
    if (mRouters[n]->mSnapshot.mHead.mVersion > version) {
      RecordViolation("a restarted router has a lower version than a reachable peer");
    }
  }
}

void ConfigurationSimulation::DeliverOldResponse(std::size_t aRouter)
{
  auto& router = *mRouters[aRouter];
  router.mGuard.OnPeerVersion({ mOldVersion.mHead.mVersion, mOldVersion.mHead.mDigest });
  PutInForce(router, mOldVersion);
  CheckInvariants("router " + std::to_string(aRouter) + " gets an old response");
}

void ConfigurationSimulation::CheckInvariants(const std::string& aEvent)
{
  mEventLog += " " + aEvent + ";";
  for (const auto& it : mRouters) {
    const auto version = it->mSnapshot.mHead.mVersion;
    if (version < it->mLastCheckedVersion) {
      RecordViolation("a router reverted to a lower version");
    }
    it->mLastCheckedVersion = version;
  }
  ConfigurationStore store(mService);
  const auto history = store.ReadHistory().value();
  for (const auto& it : history) {
    const auto known = mAcceptedVersions.emplace(it.mVersion, it.mDigest + it.mApplyId);
    if (known.first->second != it.mDigest + it.mApplyId) {
      RecordViolation("version " + std::to_string(it.mVersion) + " was replaced");
    }
  }
  for (const auto& [id, outcome] : mReportedOutcomes) {
    const bool found = store.FindByApplyId(id).value().has_value();
    if (found == (outcome == ReportedOutcome::NotRun) && outcome != ReportedOutcome::Unknown) {
      RecordViolation(found ? id + " was reported as not run, but it was applied"
                            : id + " was reported as done, but it was not applied");
    }
  }
}

void ConfigurationSimulation::ShutDownAndCheck()
{
  mPeersCutOff = false;
  for (const auto& it : mStores) {
    it->mIsDown = false;
    it->mDropsResponses = false;
    it->mDelaysWrites = false;
    it->mLostResponses = 0;
    it->mStaleEntries = nullptr;
    it->mBeforeCommit = nullptr;
    it->DeliverDelayedWrites();
  }
  CheckInvariants("faults end");
  ConfigurationStore store(mService);
  const auto head = store.ReadHead().value();
  for (std::size_t n = 0; n < kRouterCount; ++n) {
    PollStore(n);
    if (mRouters[n]->mSnapshot.mHead.mDigest != head.mDigest) {
      RecordViolation("a router does not have the last accepted version");
    }
  }
}

} // namespace gentianloom::fault
