#include "gentianloom/outcome/IntentCoordinator.h"

#include "gentianloom/base/Ids.h"

namespace gentianloom {

namespace {

constexpr std::chrono::hours kLeaseRotationInterval{ 1 };
constexpr Millis kFlushInterval{ 50 };
constexpr Millis kRetryInterval{ 1'000 };
constexpr std::size_t kMaxBatchSize = 16;
constexpr std::size_t kMaxPendingResults = 10'000;

} // namespace

IntentCoordinator::IntentCoordinator(KeyValueStore& aStore,
                                     const IntentSettings& aSettings,
                                     std::string aIncarnation,
                                     const Clock& aClock,
                                     Metrics& aMetrics)
  : mStore(aStore)
  , mSettings(aSettings)
  , mIncarnation(std::move(aIncarnation))
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

IntentCoordinator::~IntentCoordinator()
{
  Stop();
}

void IntentCoordinator::Start()
{
  mThread = std::thread([this] { Run(); });
}

void IntentCoordinator::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
    FlushOnce();
  }
}

std::optional<IntentBeginResult> IntentCoordinator::FindActive(const IntentCall& aCall)
{
  const std::lock_guard lock(mMutex);
  const auto it = mActive.find(aCall.mKey);
  if (it == mActive.end()) {
    return std::nullopt;
  }
  IntentBeginResult out;
  const auto& record = it->second;
  if (record.mFingerprint != aCall.mFingerprint) {
    out.mReply = IntentReply::Conflict;
    return out;
  }
  switch (record.mState) {
    case IntentState::Open:
      out.mReply = IntentReply::Running;
      break;
    case IntentState::Done:
      out.mReply = record.mIsBodyStored ? IntentReply::Stored : IntentReply::AnswerNotKept;
      out.mResponse = record.mResponse;
      break;
    case IntentState::NotRun:
      // A new attempt can take over the key only after this result has been written.
      out.mReply = IntentReply::StoreUnavailable;
      break;
    case IntentState::Unknown:
      out.mReply = IntentReply::Unknown;
      break;
  }
  return out;
}

Result<LeaseId> IntentCoordinator::ObtainLease()
{
  const auto now = mClock.Now();
  {
    const std::lock_guard lock(mMutex);
    if (mLeaseId != 0 && now - mLeaseGrantedAt < kLeaseRotationInterval) {
      return mLeaseId;
    }
  }
  const auto ttl =
    std::chrono::ceil<std::chrono::seconds>(mSettings.mLifetime) + kLeaseRotationInterval;
  BOOST_OUTCOME_TRY(lease, mStore.GrantLease(ttl, Step::IntentCreate));
  const std::lock_guard lock(mMutex);
  mLeaseId = lease;
  mLeaseGrantedAt = now;
  return lease;
}

IntentBeginResult IntentCoordinator::Begin(const IntentCall& aCall)
{
  if (auto active = FindActive(aCall)) {
    return std::move(*active);
  }
  IntentBeginResult out;
  out.mKey = aCall.mKey;
  IntentAttemptParams params;
  params.mStartedAt = mClock.Now();
  params.mDeadline = aCall.mDeadline;
  params.mSendWindow = mSettings.mSendWindow;
  params.mRecord.mIncarnation = mIncarnation;
  params.mRecord.mNonce = MakeId("intent");
  params.mRecord.mFingerprint = aCall.mFingerprint;
  params.mRecord.mHolderDeadline =
    mClock.WallTime() + std::chrono::ceil<Millis>(aCall.mDeadline - params.mStartedAt);
  const auto lease = ObtainLease();
  if (!lease) {
    return out;
  }
  out.mLeaseId = lease.value();
  {
    const std::lock_guard lock(mMutex);
    if (!mActive.emplace(aCall.mKey, params.mRecord).second) {
      out.mReply = IntentReply::Running;
      return out;
    }
  }
  mMetrics.CounterOf("gentianloom_intent_attempts_total").Add();
  out.mAttempt.emplace(std::move(params));
  RunAttempt(out);
  if (out.mMayRun) {
    return out;
  }
  if (out.mAttempt->MayHaveWritten()) {
    Resolve(out, IntentState::NotRun, {});
  } else {
    RemoveActive(out.mKey, out.mAttempt->Record().mNonce);
  }
  return out;
}

void IntentCoordinator::RunAttempt(IntentBeginResult& aBeginResult)
{
  auto& attempt = *aBeginResult.mAttempt;
  while (true) {
    switch (attempt.NextAction()) {
      case IntentAction::Create: {
        const auto commit = mStore.Commit(
          { { { aBeginResult.mKey, attempt.ExpectedRevision() } },
            { { aBeginResult.mKey, SerializeIntent(attempt.Record()), aBeginResult.mLeaseId } } },
          Step::IntentCreate);
        attempt.OnCommit(commit, mClock.Now());
        break;
      }
      case IntentAction::Read:
        attempt.OnRead(mStore.Range(aBeginResult.mKey, /*aIsPrefix=*/false, Step::IntentCreate),
                       mClock.Now(),
                       mClock.WallTime());
        break;
      case IntentAction::Dispatch:
        aBeginResult.mMayRun = attempt.MayDispatch(mClock.Now());
        return;
      case IntentAction::Respond:
        aBeginResult.mReply = attempt.Reply();
        aBeginResult.mResponse = attempt.FoundRecord().mResponse;
        return;
    }
  }
}

void IntentCoordinator::Resolve(const IntentBeginResult& aBeginResult,
                                IntentState aState,
                                ServiceResponse aResponse)
{
  PendingResult result{ aBeginResult.mKey,
                        aBeginResult.mAttempt->ExpectedRevision(),
                        aBeginResult.mLeaseId,
                        aBeginResult.mAttempt->Record() };
  auto& record = result.mRecord;
  record.mState = aState;
  if (aState == IntentState::Done) {
    record.mIsBodyStored = aResponse.mBody.size() <= kMaxStoredResponseBytes;
    record.mResponse = std::move(aResponse);
    if (!record.mIsBodyStored) {
      record.mResponse.mBody.clear();
    }
  }
  Enqueue(std::move(result));
}

void IntentCoordinator::Enqueue(PendingResult aResult)
{
  {
    const std::lock_guard lock(mMutex);
    mActive[aResult.mKey] = aResult.mRecord;
    mPending.push_back(std::move(aResult));
    if (mPending.size() > kMaxPendingResults) {
      // The oldest result is dropped. Its record stays open in the key-value service, so callers
      // are told that the result is unknown and the call is never run again.
      mActive.erase(mPending.front().mKey);
      mPending.pop_front();
      mMetrics.CounterOf("gentianloom_intent_resolutions_dropped_total").Add();
    }
  }
  mWake.notify_all();
}

void IntentCoordinator::RemoveActive(const std::string& aKey, const std::string& aNonce)
{
  const std::lock_guard lock(mMutex);
  const auto it = mActive.find(aKey);
  if (it != mActive.end() && it->second.mNonce == aNonce) {
    mActive.erase(it);
  }
}

bool IntentCoordinator::FlushOnce()
{
  std::deque<PendingResult> results;
  {
    const std::lock_guard lock(mMutex);
    results.swap(mPending);
  }
  bool isStoreAvailable = true;
  while (!results.empty() && isStoreAvailable) {
    std::vector<PendingResult> batch;
    while (!results.empty() && batch.size() < kMaxBatchSize) {
      batch.push_back(std::move(results.front()));
      results.pop_front();
    }
    isStoreAvailable = WriteBatch(batch);
    for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
      results.push_front(std::move(*it));
    }
  }
  const std::lock_guard lock(mMutex);
  mPending.insert(mPending.begin(),
                  std::make_move_iterator(results.begin()),
                  std::make_move_iterator(results.end()));
  return mPending.empty();
}

bool IntentCoordinator::WriteBatch(std::vector<PendingResult>& aBatch)
{
  Transaction transaction;
  for (const auto& result : aBatch) {
    transaction.mCompares.push_back({ result.mKey, result.mExpectedRevision });
    transaction.mWrites.push_back(
      { result.mKey, SerializeIntent(result.mRecord), result.mLeaseId });
  }
  const auto commit = mStore.Commit(transaction, Step::IntentResolve);
  if (commit.mEffect == Effect::NotApplied && !commit.mIsConflict) {
    return false;
  }
  // After a conflict or a lost response of the key-value service it is unknown which records were
  // written, and by which router, so each one is read back.
  const bool isBatchWritten = commit.mEffect == Effect::Applied;
  while (!aBatch.empty()) {
    if (!isBatchWritten && !WriteOne(aBatch.back())) {
      return false;
    }
    RemoveActive(aBatch.back().mKey, aBatch.back().mRecord.mNonce);
    aBatch.pop_back();
  }
  return true;
}

bool IntentCoordinator::WriteOne(PendingResult& aResult)
{
  const auto range = mStore.Range(aResult.mKey, /*aIsPrefix=*/false, Step::IntentResolve);
  if (!range) {
    return false;
  }
  const auto& entries = range.value().mEntries;
  aResult.mExpectedRevision = entries.empty() ? 0 : entries.front().mModRevision;
  if (!entries.empty()) {
    const auto found = ParseIntent(entries.front().mValue);
    const bool isOwnRecord = found && found->mIncarnation == aResult.mRecord.mIncarnation &&
                             found->mNonce == aResult.mRecord.mNonce;
    if (!isOwnRecord || found->mState != IntentState::Open) {
      return true;
    }
  }
  // The result is written even if the key is absent, so that the request that creates the record
  // fails if it was delayed and arrives later.
  const auto commit =
    mStore.Commit({ { { aResult.mKey, aResult.mExpectedRevision } },
                    { { aResult.mKey, SerializeIntent(aResult.mRecord), aResult.mLeaseId } } },
                  Step::IntentResolve);
  return commit.mEffect == Effect::Applied;
}

void IntentCoordinator::Run()
{
  bool isFlushed = true;
  while (true) {
    {
      std::unique_lock lock(mMutex);
      if (isFlushed) {
        mWake.wait_for(lock, kRetryInterval, [this] { return mIsStopping || !mPending.empty(); });
        // Wait for more results, so that they share a write.
        mWake.wait_for(lock, kFlushInterval, [this] { return mIsStopping; });
      } else {
        mWake.wait_for(lock, kRetryInterval, [this] { return mIsStopping; });
      }
      if (mIsStopping) {
        return;
      }
      if (mPending.empty()) {
        continue;
      }
    }
    isFlushed = FlushOnce();
  }
}

} // namespace gentianloom
