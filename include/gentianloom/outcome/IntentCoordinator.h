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
  std::string mKey; ///< made by MakeIntentKey()
  std::string mFingerprint;
  TimePoint mDeadline{};
};

/// Result of IntentCoordinator::Begin().
struct IntentPermit
{
  bool mMayRun = false; ///< if true, dispatch the call once, then pass the permit to Resolve()
  IntentReply mReply = IntentReply::StoreUnavailable; ///< what to tell the caller if not mMayRun
  ServiceResponse mResponse{};                        ///< set for IntentReply::Stored
  std::string mKey;
  std::optional<IntentAttempt> mAttempt;
  LeaseId mLeaseId = 0;
};

/**
 * @brief Acquires intents in the key-value service and writes their results on a background thread.
 *
 * A permitted call costs one write before it is dispatched; the results of several calls share a
 * write. Records are attached to leases that are never renewed: all records created within an hour
 * share one lease and expire with it, so that no cleanup is needed. Thread-safe; no lock is held
 * during a call to the key-value service.
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
   * @brief Requests permission to run a call. Makes one to six calls to the key-value service.
   * @return a permit, or the reply to send to the caller instead
   */
  IntentPermit Begin(const IntentCall& aCall);

  /**
   * @brief Records the result of a permitted call; it is written in the background.
   * @param aPermit the result of Begin()
   * @param aState IntentState::Done if the endpoint responded, IntentState::NotRun only if no byte
   *        was sent, otherwise IntentState::Unknown
   * @param aResponse the response if aState is IntentState::Done
   */
  void Resolve(const IntentPermit& aPermit, IntentState aState, ServiceResponse aResponse);

  /// @brief Tries once to write the pending results. @return whether none is left
  bool FlushOnce();

private:
  /// A result that has not been written yet.
  struct PendingResult
  {
    std::string mKey;
    Revision mExpectedRevision = 0; ///< last known revision of this router's record
    LeaseId mLeaseId = 0;
    IntentRecord mRecord;
  };

  std::optional<IntentPermit> FindActive(const IntentCall& aCall);
  Result<LeaseId> ObtainLease();
  void RunAttempt(IntentPermit& aPermit);
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
  std::map<std::string, IntentRecord> mActive; ///< this router's, until their result is written
  std::deque<PendingResult> mPending;
  LeaseId mLeaseId = 0;
  TimePoint mLeaseGrantedAt{};
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
