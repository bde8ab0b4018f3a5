#include "gentianloom/outcome/IntentCoordinator.h"

#include "gentianloom/base/Ids.h"

namespace gentianloom {

namespace {

constexpr std::chrono::hours kLeaseRefresh{ 1 };
constexpr Millis kFlushInterval{ 50 };
constexpr Millis kRetryInterval{ 1'000 };
constexpr std::size_t kMostBatch = 16;
constexpr std::size_t kMostPending = 10'000;

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
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
    FlushOnce();
  }
}

std::optional<IntentPermit> IntentCoordinator::FindLive(const IntentCall& aCall)
{
  const std::lock_guard lock(mMutex);
  const auto it = mLive.find(aCall.mKey);
  if (it == mLive.end()) {
    return std::nullopt;
  }
  IntentPermit out;
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
      out.mReply = record.mAnswerKept ? IntentReply::Stored : IntentReply::AnswerNotKept;
      out.mResponse = record.mResponse;
      break;
    case IntentState::NotRun:
      out.mReply = IntentReply::StoreUnavailable;
      break;
    case IntentState::Unknown:
      out.mReply = IntentReply::Unknown;
      break;
  }
  return out;
}

Result<LeaseId> IntentCoordinator::CurrentLease()
{
  const auto now = mClock.Now();
  {
    const std::lock_guard lock(mMutex);
    if (mLease != 0 && now - mLeaseGranted < kLeaseRefresh) {
      return mLease;
    }
  }
  const auto ttl = std::chrono::ceil<std::chrono::seconds>(mSettings.mLifetime) + kLeaseRefresh;
  BOOST_OUTCOME_TRY(lease, mStore.GrantLease(ttl, Step::IntentCreate));
  const std::lock_guard lock(mMutex);
  mLease = lease;
  mLeaseGranted = now;
  return lease;
}

IntentPermit IntentCoordinator::Begin(const IntentCall& aCall)
{
  if (auto live = FindLive(aCall)) {
    return std::move(*live);
  }
  IntentPermit out;
  out.mKey = aCall.mKey;
  IntentStart start;
  start.mStarted = mClock.Now();
  start.mDeadline = aCall.mDeadline;
  start.mSendWindow = mSettings.mSendWindow;
  start.mRecord.mIncarnation = mIncarnation;
  start.mRecord.mNonce = MakeId("intent");
  start.mRecord.mFingerprint = aCall.mFingerprint;
  start.mRecord.mHolderDeadline =
    mClock.WallTime() + std::chrono::ceil<Millis>(aCall.mDeadline - start.mStarted);
  const auto lease = CurrentLease();
  if (!lease) {
    return out;
  }
  out.mLease = lease.value();
  {
    const std::lock_guard lock(mMutex);
    if (!mLive.emplace(aCall.mKey, start.mRecord).second) {
      out.mReply = IntentReply::Running;
      return out;
    }
  }
  mMetrics.CounterOf("gentianloom_intent_attempts_total").Add();
  out.mAttempt.emplace(std::move(start));
  Drive(out);
  if (out.mMayRun) {
    return out;
  }
  if (out.mAttempt->MayHaveWritten()) {
    Resolve(out, IntentState::NotRun, {});
  } else {
    Forget(out.mKey, out.mAttempt->Record().mNonce);
  }
  return out;
}

void IntentCoordinator::Drive(IntentPermit& aPermit)
{
  auto& attempt = *aPermit.mAttempt;
  while (true) {
    switch (attempt.Next()) {
      case IntentOrder::Create: {
        const auto answer =
          mStore.Commit({ { { aPermit.mKey, attempt.Expected() } },
                          { { aPermit.mKey, SerializeIntent(attempt.Record()), aPermit.mLease } } },
                        Step::IntentCreate);
        attempt.OnCommit(answer, mClock.Now());
        break;
      }
      case IntentOrder::Read:
        attempt.OnRead(
          mStore.Range(aPermit.mKey, false, Step::IntentCreate), mClock.Now(), mClock.WallTime());
        break;
      case IntentOrder::Dispatch:
        aPermit.mMayRun = attempt.MayDispatch(mClock.Now());
        return;
      case IntentOrder::Answer:
        aPermit.mReply = attempt.Ruling();
        aPermit.mResponse = attempt.Found().mResponse;
        return;
    }
  }
}

void IntentCoordinator::Resolve(const IntentPermit& aPermit,
                                IntentState aState,
                                ServiceResponse aAnswer)
{
  Pending pending{
    aPermit.mKey, aPermit.mAttempt->Expected(), aPermit.mLease, aPermit.mAttempt->Record()
  };
  auto& record = pending.mRecord;
  record.mState = aState;
  if (aState == IntentState::Done) {
    record.mAnswerKept = aAnswer.mBody.size() <= kMaxStoredResponseBytes;
    record.mResponse = std::move(aAnswer);
    if (!record.mAnswerKept) {
      record.mResponse.mBody.clear();
    }
  }
  Enqueue(std::move(pending));
}

void IntentCoordinator::Enqueue(Pending aPending)
{
  {
    const std::lock_guard lock(mMutex);
    mLive[aPending.mKey] = aPending.mRecord;
    mPending.push_back(std::move(aPending));
    if (mPending.size() > kMostPending) {
      // The record stays open in the key-value service: unknown to callers, never run again.
      mLive.erase(mPending.front().mKey);
      mPending.pop_front();
      mMetrics.CounterOf("gentianloom_intent_resolutions_dropped_total").Add();
    }
  }
  mWake.notify_all();
}

void IntentCoordinator::Forget(const std::string& aKey, const std::string& aNonce)
{
  const std::lock_guard lock(mMutex);
  const auto it = mLive.find(aKey);
  if (it != mLive.end() && it->second.mNonce == aNonce) {
    mLive.erase(it);
  }
}

bool IntentCoordinator::FlushOnce()
{
  std::deque<Pending> taken;
  {
    const std::lock_guard lock(mMutex);
    taken.swap(mPending);
  }
  bool reached = true;
  while (!taken.empty() && reached) {
    std::vector<Pending> batch;
    while (!taken.empty() && batch.size() < kMostBatch) {
      batch.push_back(std::move(taken.front()));
      taken.pop_front();
    }
    reached = WriteBatch(batch);
    for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
      taken.push_front(std::move(*it));
    }
  }
  const std::lock_guard lock(mMutex);
  mPending.insert(
    mPending.begin(), std::make_move_iterator(taken.begin()), std::make_move_iterator(taken.end()));
  return mPending.empty();
}

bool IntentCoordinator::WriteBatch(std::vector<Pending>& aBatch)
{
  Transaction transaction;
  for (const auto& it : aBatch) {
    transaction.mCompares.push_back({ it.mKey, it.mExpected });
    transaction.mWrites.push_back({ it.mKey, SerializeIntent(it.mRecord), it.mLease });
  }
  const auto answer = mStore.Commit(transaction, Step::IntentResolve);
  if (answer.mEffect == Effect::DidNot && !answer.mConflict) {
    return false;
  }
  // After a lost answer or a conflict each record is read back, whichever writer it names.
  const bool whole = answer.mEffect == Effect::TookEffect;
  while (!aBatch.empty()) {
    if (!whole && !WriteOne(aBatch.back())) {
      return false;
    }
    Forget(aBatch.back().mKey, aBatch.back().mRecord.mNonce);
    aBatch.pop_back();
  }
  return true;
}

bool IntentCoordinator::WriteOne(Pending& aPending)
{
  const auto range = mStore.Range(aPending.mKey, false, Step::IntentResolve);
  if (!range) {
    return false;
  }
  const auto& entries = range.value().mEntries;
  aPending.mExpected = entries.empty() ? 0 : entries.front().mModRevision;
  if (!entries.empty()) {
    const auto found = ParseIntent(entries.front().mValue);
    const bool mine = found && found->mIncarnation == aPending.mRecord.mIncarnation &&
                      found->mNonce == aPending.mRecord.mNonce;
    if (!mine || found->mState != IntentState::Open) {
      return true;
    }
  }
  // An absent key gets the record too: it fences off a create of mine that arrives late.
  const auto answer =
    mStore.Commit({ { { aPending.mKey, aPending.mExpected } },
                    { { aPending.mKey, SerializeIntent(aPending.mRecord), aPending.mLease } } },
                  Step::IntentResolve);
  return answer.mEffect == Effect::TookEffect;
}

void IntentCoordinator::Run()
{
  bool clean = true;
  while (true) {
    {
      std::unique_lock lock(mMutex);
      if (clean) {
        mWake.wait_for(lock, kRetryInterval, [this] { return mStopping || !mPending.empty(); });
        // Waits a little for more, so that many resolutions share a write.
        mWake.wait_for(lock, kFlushInterval, [this] { return mStopping; });
      } else {
        mWake.wait_for(lock, kRetryInterval, [this] { return mStopping; });
      }
      if (mStopping) {
        return;
      }
      if (mPending.empty()) {
        continue;
      }
    }
    clean = FlushOnce();
  }
}

} // namespace gentianloom
