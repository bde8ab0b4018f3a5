#include "gentianloom/outcome/IntentAttempt.h"

namespace gentianloom {

namespace {

constexpr int kMaxCreateAttempts = 3;

} // namespace

IntentAttempt::IntentAttempt(IntentAttemptParams aParams)
  : mParams(std::move(aParams))
{
}

void IntentAttempt::RespondWith(IntentReply aReply)
{
  mReply = aReply;
  mNext = IntentAction::Respond;
}

void IntentAttempt::OnCommit(const CommitResult& aAnswer, TimePoint /*aNow*/)
{
  ++mCreateAttempts;
  switch (aAnswer.mEffect) {
    case Effect::Applied:
      mMayHaveWritten = true;
      mExpectedRevision = aAnswer.mRevision;
      mNext = IntentAction::Dispatch;
      return;
    case Effect::Unknown:
      mMayHaveWritten = true;
      mNext = IntentAction::Read;
      return;
    case Effect::NotApplied:
      break;
  }
  if (aAnswer.mIsConflict) {
    mNext = IntentAction::Read;
    return;
  }
  RespondWith(IntentReply::StoreUnavailable);
}

void IntentAttempt::OnRead(const Result<RangeResponse>& aAnswer, TimePoint aNow, Millis aWallTime)
{
  if (!aAnswer) {
    RespondWith(IntentReply::StoreUnavailable);
    return;
  }
  if (aAnswer.value().mEntries.empty()) {
    RetryCreate(0, aNow);
    return;
  }
  OnFound(aAnswer.value().mEntries.front(), aNow, aWallTime);
}

void IntentAttempt::OnFound(const KeyValue& aEntry, TimePoint aNow, Millis aWallTime)
{
  const auto found = ParseIntent(aEntry.mValue);
  if (!found) {
    RespondWith(IntentReply::Unknown);
    return;
  }
  mFoundRecord = *found;
  const bool isOwnRecord =
    found->mIncarnation == Record().mIncarnation && found->mNonce == Record().mNonce;
  if (isOwnRecord && found->mState == IntentState::Open) {
    mExpectedRevision = aEntry.mModRevision;
    mNext = IntentAction::Dispatch;
    return;
  }
  if (found->mFingerprint != Record().mFingerprint) {
    RespondWith(IntentReply::Conflict);
    return;
  }
  switch (found->mState) {
    case IntentState::Done:
      RespondWith(found->mIsBodyStored ? IntentReply::Stored : IntentReply::AnswerNotKept);
      return;
    case IntentState::NotRun:
      RetryCreate(aEntry.mModRevision, aNow);
      return;
    case IntentState::Open:
      RespondWith(aWallTime < found->mHolderDeadline ? IntentReply::Running : IntentReply::Unknown);
      return;
    case IntentState::Unknown:
      RespondWith(IntentReply::Unknown);
      return;
  }
}

void IntentAttempt::RetryCreate(Revision aExpectedRevision, TimePoint aNow)
{
  // The retry writes the same nonce. If the first write is delayed and arrives later, one of the
  // two fails because of its expected revision.
  if (mCreateAttempts >= kMaxCreateAttempts || !MayDispatch(aNow)) {
    RespondWith(IntentReply::StoreUnavailable);
    return;
  }
  mExpectedRevision = aExpectedRevision;
  mNext = IntentAction::Create;
}

bool IntentAttempt::MayDispatch(TimePoint aNow) const
{
  return aNow < mParams.mDeadline && aNow - mParams.mStartedAt <= mParams.mSendWindow;
}

} // namespace gentianloom
