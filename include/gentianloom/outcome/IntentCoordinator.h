#ifndef GENTIANLOOM_OUTCOME_INTENT_COORDINATOR_H
#define GENTIANLOOM_OUTCOME_INTENT_COORDINATOR_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/outcome/IntentAttempt.h"
#include "gentianloom/settings/Settings.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace gentianloom {

/// A call that must run at most once.
struct IntentCall
{
  std::string mKey;         ///< made by MakeIntentKey()
  std::string mFingerprint; ///< made by ComputeCallFingerprint()
  TimePoint mDeadline{};    ///< of the caller
};

/// Result of IntentCoordinator::Begin().
struct IntentBeginResult
{
  bool mMayRun = false; ///< if true, dispatch the call once, then pass this to Resolve()
  IntentReply mReply = IntentReply::StoreUnavailable; ///< reply to the caller if mMayRun is false
  ServiceResponse mResponse{};                        ///< set for IntentReply::Stored
  std::string mKey;
  std::optional<IntentAttempt> mAttempt;
  LeaseId mLeaseId = 0;
};

/**
 * @brief Creates intent records in the key-value service and writes the results of the calls on a
 * background thread.
 *
 * A permitted call costs one write before it is dispatched; the results of several calls share a
 * write. Records are attached to leases that are never renewed: all records created within an hour
 * share one lease and expire with it, so that no cleanup is needed. Thread-safe; no lock is held
 * during a request to the key-value service.
 */
class IntentCoordinator
{
public:
  /// @param aIncarnation unique identifier of this router process, never reused
  IntentCoordinator(KeyValueStore& aStore,
                    const IntentSettings& aSettings,
                    std::string aIncarnation,
                    const Clock& aClock,
                    Metrics& aMetrics);
  ~IntentCoordinator();

  /// @brief Starts the background thread.
  void Start();

  /// @brief Ends the background thread and tries once to write the pending results.
  void Stop();

  /**
   * @brief Requests permission to run a call.
   *
   * Sends no request to the key-value service if this router already handles a call with the key.
   * Otherwise sends one to six requests, and one more if a new lease is needed.
   * @return mMayRun is true if the call may be dispatched. Otherwise mReply is the reply to the
   *         caller: IntentReply::StoreUnavailable if the key-value service failed or if the call
   * did not run but this has not been written yet.
   */
  IntentBeginResult Begin(const IntentCall& aCall);

  /**
   * @brief Records the result of a permitted call; it is written in the background.
   * @param aBeginResult the result of Begin()
   * @param aState IntentState::Done if the endpoint responded, IntentState::NotRun only if no byte
   *        was sent, otherwise IntentState::Unknown
   * @param aResponse the response if aState is IntentState::Done
   */
  void Resolve(const IntentBeginResult& aBeginResult,
               IntentState aState,
               ServiceResponse aResponse);

  /// @brief Tries once to write the pending results. @return whether none is left
  bool FlushOnce();

private:
  /// The result of a call that has not been written to the key-value service yet.
  struct PendingResult
  {
    std::string mKey;
    Revision mExpectedRevision = 0; ///< last known revision of this router's record
    LeaseId mLeaseId = 0;
    IntentRecord mRecord;
  };

  std::optional<IntentBeginResult> FindActive(const IntentCall& aCall);
  Result<LeaseId> ObtainLease();
  void RunAttempt(IntentBeginResult& aBeginResult);
  void Enqueue(PendingResult aResult);
  void RemoveActive(const std::string& aKey, const std::string& aNonce);
  bool WriteBatch(std::vector<PendingResult>& aBatch);
  bool WriteOne(PendingResult& aResult);
  void Run();

  KeyValueStore& mStore;
  IntentSettings mSettings;
  std::string mIncarnation;
  const Clock& mClock;
  Metrics& mMetrics;

  std::mutex mMutex;
  std::condition_variable mWake;
  /// Records of this router whose result has not been written yet, by key.
  std::map<std::string, IntentRecord> mActive;
  std::deque<PendingResult> mPending;
  LeaseId mLeaseId = 0;
  TimePoint mLeaseGrantedAt{};
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
