#ifndef GENTIANLOOM_OUTCOME_INTENT_ATTEMPT_H
#define GENTIANLOOM_OUTCOME_INTENT_ATTEMPT_H

#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/outcome/IntentRecord.h"

#include <optional>

namespace gentianloom {

/// What the driver of an attempt does next.
enum class IntentOrder : std::uint8_t
{
  Create,   ///< write Record(), on the condition that the key is at Expected()
  Read,     ///< read the key
  Dispatch, ///< ask MayDispatch() and send the call at once, once
  Answer    ///< tell the caller Ruling()
};

/// What the caller is told if the work is not dispatched for it.
enum class IntentReply : std::uint8_t
{
  Stored,          ///< it ran; the kept answer is given again
  AnswerNotKept,   ///< it ran once; its answer was too large to be kept
  Running,         ///< another attempt with the key is under way
  Conflict,        ///< the key was used with another call
  Unknown,         ///< an earlier attempt may have run it
  StoreUnavailable ///< the key-value service did not answer: not run
};

/// What an attempt starts from.
struct IntentStart
{
  IntentRecord mRecord;  ///< mine, open
  TimePoint mStarted{};  ///< before the first write
  TimePoint mDeadline{}; ///< of the caller
  Micros mSendWindow{};  ///< longest time from the first write to the dispatch
};

/**
 * @brief One attempt of one router to run work that must not repeat. Pure decisions.
 *
 * State is the record to write and the last known revision; events are the answers of the key-value
 * service. The promise: of all attempts with one key, in all routers, at most one gets
 * IntentOrder::Dispatch with a true MayDispatch() while its record lives, and none after another
 * one may have dispatched.
 */
class IntentAttempt
{
public:
  explicit IntentAttempt(IntentStart aStart);

  IntentOrder Next() const { return mNext; }

  /// @brief The record to create. @sa IntentOrder::Create
  const IntentRecord& Record() const { return mStart.mRecord; }

  /// @brief Revision that the key must have for the create, and that it has once created.
  Revision Expected() const { return mExpected; }

  /// @brief Ruling and, with Stored, Running or Unknown, the record it rests on.
  IntentReply Ruling() const { return mReply; }
  const IntentRecord& Found() const { return mFound; }

  /// @brief Whether a write of mine may still be in the key-value service without being dispatched.
  bool MayHaveWritten() const { return mWrote; }

  /// @brief Takes the answer to IntentOrder::Create.
  void OnCommit(const CommitAnswer& aAnswer, TimePoint aNow);

  /**
   * @brief Takes the answer to IntentOrder::Read.
   * @param aWallTime decides only between Running and Unknown; neither runs the work
   */
  void OnRead(const Result<RangeAnswer>& aAnswer, TimePoint aNow, Millis aWallTime);

  /**
   * @brief Whether the call may be sent now. Asked right before the send.
   *
   * A holder that was paused for longer than the window or past the deadline may not: the caller
   * may have gone on, and the record's lease bounds how long the key is protected. A pause between
   * this check and the send cannot be seen here; the endpoint gets the idempotency key as well.
   */
  bool MayDispatch(TimePoint aNow) const;

private:
  void Rule(IntentReply aRuling);
  void OnFound(const KeyValue& aEntry, TimePoint aNow, Millis aWallTime);
  void CreateAgain(Revision aExpected, TimePoint aNow);

  IntentStart mStart;
  IntentOrder mNext = IntentOrder::Create;
  IntentReply mReply = IntentReply::StoreUnavailable;
  IntentRecord mFound;
  Revision mExpected = 0;
  bool mWrote = false;
  int mCreates = 0;
};

/// @brief Wait before a caller comes back when an intent is held by another attempt.
inline constexpr Millis kRunningRetryAfter{ 1'000 };

} // namespace gentianloom

#endif
