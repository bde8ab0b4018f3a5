#include "ConfigurationSimulation.h"

namespace gentianloom::fault {

namespace {

Error NoAnswer(Step aStep)
{
  return MakeError(ErrorCode::PlatformUnavailable, aStep, "service", "no answer");
}

Configuration FileOf(int aFile)
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

void FaultyPort::DeliverLate()
{
  for (const auto& it : mWaiting) {
    mStore.Commit(it, Step::ApplicationCommit);
  }
  mWaiting.clear();
}

Result<RangeAnswer> FaultyPort::Range(std::string_view aKey, bool aIsPrefix, Step aStep)
{
  if (mDown || mDeaf || mLate) {
    return NoAnswer(aStep);
  }
  if (mStale == nullptr) {
    return mStore.Range(aKey, aIsPrefix, aStep);
  }
  RangeAnswer out;
  for (const auto& it : *mStale) {
    if (aIsPrefix ? it.mKey.starts_with(aKey) : it.mKey == aKey) {
      out.mEntries.push_back(it);
    }
  }
  return out;
}

CommitAnswer FaultyPort::Commit(const Transaction& aTransaction, Step aStep)
{
  if (mBeforeCommit) {
    mBeforeCommit(aStep);
  }
  CommitAnswer lost;
  lost.mError = NoAnswer(aStep);
  if (mDown) {
    return lost;
  }
  if (mLate) {
    mWaiting.push_back(aTransaction);
    return lost;
  }
  auto transaction = aTransaction;
  if (mUnconditional) {
    transaction.mCompares.clear();
  }
  const auto answer = mStore.Commit(transaction, aStep);
  return mDeaf || mLostAnswers-- > 0 ? lost : answer;
}

Result<void> FaultyPort::Watch(
  std::string_view /*aPrefix*/,
  Revision /*aFrom*/,
  Millis /*aTimeout*/,
  const std::function<bool(const std::vector<WatchEvent>&, Revision)>& /*aOnEvents*/,
  Step /*aStep*/)
{
  return success(); // routers poll here
}

ConfigurationWorld::ConfigurationWorld(std::uint64_t aSeed, std::string aPlant)
  : mPlant(std::move(aPlant))
{
  for (std::size_t n = 0; n < kRouters; ++n) {
    mPorts[n] = std::make_unique<FaultyPort>(mService);
    mPorts[n]->mUnconditional = mPlant == "head moves without condition";
    mNodes[n] = std::make_unique<Node>();
  }
  const int versions = 2 + static_cast<int>(aSeed % 3);
  for (int n = 0; n < versions; ++n) {
    Apply(static_cast<std::size_t>(n) % kRouters, n, "before-" + std::to_string(n));
    for (std::size_t router = 0; router < kRouters; ++router) {
      PollStore(router);
    }
    if (n == 0) {
      mOldState = mService.Range("/gentianloom/", true, Step::Settings).value().mEntries;
      mOldVersion = mNodes[0]->mHeld;
    }
  }
}

void ConfigurationWorld::Fail(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = aText + "; schedule:" + mSchedule;
  }
}

Told ConfigurationWorld::Retry(std::size_t aRouter, int aFile, const std::string& aApplyId)
{
  const auto told = Apply(aRouter, aFile, aApplyId);
  // "Not run" is said of the second call only; the first may still be on its way.
  if (told == Told::NotRun) {
    mTold[aApplyId] = Told::Unknown;
  }
  return told;
}

Told ConfigurationWorld::Apply(std::size_t aRouter, int aFile, const std::string& aApplyId)
{
  ConfigurationStore store(*mPorts[aRouter]);
  ApplyRequest request;
  request.mOperator = "operator-" + std::to_string(aRouter);
  request.mApplyId = aApplyId;
  const auto base = mNodes[aRouter]->mGuard.InForce().mVersion;
  request.mBase = base;
  request.mAtLeast = mNodes[aRouter]->mGuard.Highest();
  Told told = Told::Unknown;
  try {
    const auto answer = store.Apply(FileOf(aFile), request);
    const bool lost = !answer && answer.error().mCode == ErrorCode::PlatformAnswerLost;
    told = lost ? Told::Unknown : Told::NotRun;
    told = answer ? Told::Done : told;
    if (answer && !answer.value().mChanged) {
      CheckUnchanged(aFile);
      return told;
    }
    if (lost && mPlant == "lost answer told as not run") {
      told = Told::NotRun;
    }
  } catch (const RouterDied&) {
    Restart(aRouter);
  }
  // An operator who asked another router meanwhile does not hear the first answer any more.
  if (!mTold.contains(aApplyId)) {
    mTold[aApplyId] = told;
  }
  Check("apply " + aApplyId);
  return told;
}

void ConfigurationWorld::CheckUnchanged(int aFile)
{
  Check("nothing changed");
  ConfigurationStore store(mService);
  if (store.ReadHead().value().mDigest != SplitConfiguration(FileOf(aFile)).value().mDigest) {
    Fail("an operator was told that nothing changes, but another version is accepted");
  }
}

void ConfigurationWorld::Take(Node& aNode, const HeldVersion& aVersion)
{
  const VersionId id{ aVersion.mHead.mVersion, aVersion.mHead.mDigest };
  const bool planted = mPlant == "router takes any version";
  if (aNode.mGuard.Take(id) || planted) {
    aNode.mHeld = aVersion;
    aNode.mShelf.Put(aVersion);
  }
}

void ConfigurationWorld::PollStore(std::size_t aRouter)
{
  auto& node = *mNodes[aRouter];
  ConfigurationStore store(*mPorts[aRouter]);
  const auto head = store.ReadHead();
  if (head) {
    node.mGuard.OnHead({ head.value().mVersion, head.value().mDigest }, mClock.Now());
    const auto accepted = store.ReadAccepted(head.value(), node.mHeld.mAccepted);
    if (accepted && accepted.value()) {
      Take(node, { head.value(), accepted.value() });
    }
  }
  Check("router " + std::to_string(aRouter) + " reads");
}

void ConfigurationWorld::PollPeers(std::size_t aRouter)
{
  auto& node = *mNodes[aRouter];
  const FetchCall fetch =
    [this](const std::string& aAddress,
           const wire::ConfigurationRequest& aRequest) -> Result<wire::ConfigurationAnswer> {
    return mNodes[std::stoul(aAddress)]->mShelf.Answer(aRequest);
  };
  for (std::size_t n = 0; n < kRouters && !mPeersCut; ++n) {
    if (n == aRouter) {
      continue;
    }
    const auto fetched =
      FetchVersion(fetch, std::to_string(n), node.mHeld, node.mHeld.mHead.mVersion + 1);
    if (fetched) {
      Take(node, fetched.value());
    }
  }
  Check("router " + std::to_string(aRouter) + " asks peers");
}

void ConfigurationWorld::Restart(std::size_t aRouter)
{
  mNodes[aRouter] = std::make_unique<Node>();
  mPorts[aRouter]->mBeforeCommit = nullptr;
  PollStore(aRouter);
  PollPeers(aRouter);
  const auto version = mNodes[aRouter]->mHeld.mHead.mVersion;
  for (std::size_t n = 0; n < kRouters && !mPeersCut; ++n) {
    if (mNodes[n]->mHeld.mHead.mVersion > version) {
      Fail("a restarted router has a lower version than a peer that it reaches");
    }
  }
}

void ConfigurationWorld::DeliverOldAnswer(std::size_t aRouter)
{
  auto& node = *mNodes[aRouter];
  node.mGuard.OnPeer({ mOldVersion.mHead.mVersion, mOldVersion.mHead.mDigest });
  Take(node, mOldVersion);
  Check("router " + std::to_string(aRouter) + " gets an old answer");
}

void ConfigurationWorld::Check(const std::string& aEvent)
{
  mSchedule += " " + aEvent + ";";
  for (const auto& it : mNodes) {
    const auto version = it->mHeld.mHead.mVersion;
    if (version < it->mCheckedVersion) {
      Fail("a router went down a version");
    }
    it->mCheckedVersion = version;
  }
  ConfigurationStore store(mService);
  const auto history = store.ReadHistory().value();
  for (const auto& it : history) {
    const auto known = mAccepted.emplace(it.mVersion, it.mDigest + it.mApplyId);
    if (known.first->second != it.mDigest + it.mApplyId) {
      Fail("version " + std::to_string(it.mVersion) + " was replaced");
    }
  }
  for (const auto& [id, told] : mTold) {
    const bool found = store.FindApplication(id).value().has_value();
    if (found == (told == Told::NotRun) && told != Told::Unknown) {
      Fail(found ? id + " was told as not run, but it is there"
                 : id + " was told as done, but it is not there");
    }
  }
}

void ConfigurationWorld::Heal()
{
  mPeersCut = false;
  for (const auto& it : mPorts) {
    it->mDown = false;
    it->mDeaf = false;
    it->mLate = false;
    it->mLostAnswers = 0;
    it->mStale = nullptr;
    it->mBeforeCommit = nullptr;
    it->DeliverLate();
  }
  Check("heal");
  ConfigurationStore store(mService);
  const auto head = store.ReadHead().value();
  for (std::size_t n = 0; n < kRouters; ++n) {
    PollStore(n);
    if (mNodes[n]->mHeld.mHead.mDigest != head.mDigest) {
      Fail("a router does not hold the last accepted version");
    }
  }
}

} // namespace gentianloom::fault
