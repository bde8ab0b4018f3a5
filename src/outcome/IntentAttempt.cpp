#include "gentianloom/outcome/IntentAttempt.h"

namespace gentianloom {

namespace {

constexpr int kMostCreates = 3;

} // namespace

IntentAttempt::IntentAttempt(IntentStart aStart)
  : mStart(std::move(aStart))
{
}

void IntentAttempt::Rule(IntentReply aRuling)
{
  mReply = aRuling;
  mNext = IntentOrder::Answer;
}

void IntentAttempt::OnCommit(const CommitAnswer& aAnswer, TimePoint /*aNow*/)
{
  ++mCreates;
  switch (aAnswer.mEffect) {
    case Effect::TookEffect:
      mWrote = true;
      mExpected = aAnswer.mRevision;
      mNext = IntentOrder::Dispatch;
      return;
    case Effect::Unknown:
      mWrote = true;
      mNext = IntentOrder::Read;
      return;
    case Effect::DidNot:
      break;
  }
  if (aAnswer.mConflict) {
    mNext = IntentOrder::Read;
    return;
  }
  Rule(IntentReply::StoreUnavailable);
}

void IntentAttempt::OnRead(const Result<RangeAnswer>& aAnswer, TimePoint aNow, Millis aWallTime)
{
  if (!aAnswer) {
    Rule(IntentReply::StoreUnavailable);
    return;
  }
  if (aAnswer.value().mEntries.empty()) {
    CreateAgain(0, aNow);
    return;
  }
  OnFound(aAnswer.value().mEntries.front(), aNow, aWallTime);
}

void IntentAttempt::OnFound(const KeyValue& aEntry, TimePoint aNow, Millis aWallTime)
{
  const auto found = ParseIntent(aEntry.mValue);
  if (!found) {
    Rule(IntentReply::Unknown);
    return;
  }
  mFound = *found;
  const bool mine =
    found->mIncarnation == Record().mIncarnation && found->mNonce == Record().mNonce;
  if (mine && found->mState == IntentState::Open) {
    mExpected = aEntry.mModRevision;
    mNext = IntentOrder::Dispatch;
    return;
  }
  if (found->mFingerprint != Record().mFingerprint) {
    Rule(IntentReply::Conflict);
    return;
  }
  switch (found->mState) {
    case IntentState::Done:
      Rule(found->mAnswerKept ? IntentReply::Stored : IntentReply::AnswerNotKept);
      return;
    case IntentState::NotRun:
      CreateAgain(aEntry.mModRevision, aNow);
      return;
    case IntentState::Open:
      Rule(aWallTime < found->mHolderDeadline ? IntentReply::Running : IntentReply::Unknown);
      return;
    case IntentState::Unknown:
      Rule(IntentReply::Unknown);
      return;
  }
}

void IntentAttempt::CreateAgain(Revision aExpected, TimePoint aNow)
{
  // The same nonce is written again: if the first write arrives late, one of the two fails.
  if (mCreates >= kMostCreates || !MayDispatch(aNow)) {
    Rule(IntentReply::StoreUnavailable);
    return;
  }
  mExpected = aExpected;
  mNext = IntentOrder::Create;
}

bool IntentAttempt::MayDispatch(TimePoint aNow) const
{
  return aNow < mStart.mDeadline && aNow - mStart.mStarted <= mStart.mSendWindow;
}

} // namespace gentianloom
