#ifndef GENTIANLOOM_OUTCOME_INTENT_ATTEMPT_H
#define GENTIANLOOM_OUTCOME_INTENT_ATTEMPT_H

#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/outcome/IntentRecord.h"

#include <optional>

namespace gentianloom {

/// The next step that an IntentAttempt asks for.
enum class IntentAction : std::uint8_t
{
  Create,   ///< write Record() if the key still has ExpectedRevision()
  Read,     ///< read the key
  Dispatch, ///< if MayDispatch(), send the call at once and only once
  Respond   ///< send Reply() to the caller
};

/// What the caller is told if the call is not dispatched.
enum class IntentReply : std::uint8_t
{
  Stored,          ///< the call ran; its stored response is sent again
  AnswerNotKept,   ///< the call ran; its response was too large to be stored
  Running,         ///< another attempt with the same key is in progress
  Conflict,        ///< the key was already used with a different call
  Unknown,         ///< an earlier attempt may have run the call
  StoreUnavailable ///< the key-value service did not answer; the call did not run
};

/// Input of an IntentAttempt.
struct IntentAttemptParams
{
  IntentRecord mRecord;   ///< record of this attempt, in IntentState::Open
  TimePoint mStartedAt{}; ///< before the first write
  TimePoint mDeadline{};  ///< of the caller
  Micros mSendWindow{};   ///< maximum time from mStartedAt to the dispatch
};

/**
 * @brief State machine of one attempt to run a call at most once. Performs no I/O.
 *
 * The state is the record to write and the last known revision of its key. The events are the
 * results of requests to the key-value service.
 *
 * Invariant: of all attempts with the same key, on all routers, at most one reaches
 * IntentAction::Dispatch with MayDispatch() being true as long as its record exists. No attempt
 * reaches it after another attempt may have dispatched the call.
 */
class IntentAttempt
{
public:
  explicit IntentAttempt(IntentAttemptParams aParams);

  /// @brief The step to execute next.
  IntentAction NextAction() const { return mNext; }

  /// @brief The record to write for IntentAction::Create.
  const IntentRecord& Record() const { return mParams.mRecord; }

  /// @brief Revision that the key must have before the write; after the write, its new revision.
  Revision ExpectedRevision() const { return mExpectedRevision; }

  /// @brief Reply for IntentAction::Respond.
  IntentReply Reply() const { return mReply; }

  /// @brief The record that the reply is based on; set for Stored, Running and Unknown.
  const IntentRecord& FoundRecord() const { return mFoundRecord; }

  /**
   * @brief Whether the key-value service may hold a record of this attempt.
   *
   * If the call was not dispatched, the record must be resolved so that it does not block a retry.
   */
  bool MayHaveWritten() const { return mMayHaveWritten; }

  /// @brief Handles the result of IntentAction::Create.
  void OnCommit(const CommitResult& aAnswer, TimePoint aNow);

  /**
   * @brief Handles the result of IntentAction::Read.
   * @param aAnswer the record of the key, if there is one
   * @param aNow the current time
   * @param aWallTime the current wall-clock time. It only decides between IntentReply::Running and
   *        IntentReply::Unknown, neither of which runs the call, so clock skew is harmless.
   */
  void OnRead(const Result<RangeResponse>& aAnswer, TimePoint aNow, Millis aWallTime);

  /**
   * @brief Whether the call may be sent now. Call it immediately before sending.
   *
   * Returns false if the router was suspended for longer than the send window or past the deadline:
   * the caller may have given up, and the record protects the key only until its lease expires. A
   * pause between this check and the send cannot be detected here; for this case the endpoint
   * receives the idempotency key as well.
   */
  bool MayDispatch(TimePoint aNow) const;

private:
  void RespondWith(IntentReply aReply);
  void OnFound(const KeyValue& aEntry, TimePoint aNow, Millis aWallTime);
  void RetryCreate(Revision aExpectedRevision, TimePoint aNow);

  IntentAttemptParams mParams;
  IntentAction mNext = IntentAction::Create;
  IntentReply mReply = IntentReply::StoreUnavailable;
  IntentRecord mFoundRecord;
  Revision mExpectedRevision = 0;
  bool mMayHaveWritten = false;
  int mCreateAttempts = 0;
};

/// Retry-After for a caller whose idempotency key is in use by another attempt.
inline constexpr Millis kRunningRetryAfter{ 1'000 };

} // namespace gentianloom

#endif
