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

/// A call that must not repeat.
struct IntentCall
{
  std::string mKey; ///< see MakeIntentKey()
  std::string mFingerprint;
  TimePoint mDeadline{};
};

/// What Begin() found. With mMayRun the caller dispatches once and then calls Resolve().
struct IntentPermit
{
  bool mMayRun = false;
  IntentReply mReply = IntentReply::StoreUnavailable; ///< if it may not run
  ServiceResponse mResponse{};                        ///< with IntentReply::Stored
  std::string mKey;
  std::optional<IntentAttempt> mAttempt;
  LeaseId mLease = 0;
};

/**
 * @brief Drives intents against the key-value service, and resolves them on a thread of its own.
 *
 * A permitted call costs one write before it runs; resolutions of many calls share a write. Records
 * hang on leases that are never kept alive: one lease for all records of an hour, so that they
 * vanish without a sweep. Thread-safe; no lock is held across a call to the key-value service.
 */
class IntentCoordinator
{
public:
  /// @param aIncarnation identifier of this run of this router, never used before
  IntentCoordinator(KeyValueStore& aStore,
                    const IntentSettings& aSettings,
                    std::string aIncarnation,
                    const Clock& aClock,
                    Metrics& aMetrics);
  ~IntentCoordinator();

  void Start();
  void Stop(); ///< resolves what is left, one try, and ends the thread

  /**
   * @brief Asks to run a call. Makes one to six calls to the key-value service.
   * @return a permit, or what the caller is told instead
   */
  IntentPermit Begin(const IntentCall& aCall);

  /**
   * @brief Notes how a permitted call ended.
   * @param aState Done with the answer; NotRun only if no byte was sent; else Unknown
   */
  void Resolve(const IntentPermit& aPermit, IntentState aState, ServiceResponse aAnswer);

  /// @brief Writes pending resolutions now, once. @return whether none is left
  bool FlushOnce();

private:
  struct Pending
  {
    std::string mKey;
    Revision mExpected = 0; ///< last known revision of my record
    LeaseId mLease = 0;
    IntentRecord mRecord;
  };

  std::optional<IntentPermit> FindLive(const IntentCall& aCall);
  Result<LeaseId> CurrentLease();
  void Drive(IntentPermit& aPermit);
  void Enqueue(Pending aPending);
  void Forget(const std::string& aKey, const std::string& aNonce);
  bool WriteBatch(std::vector<Pending>& aBatch);
  bool WriteOne(Pending& aPending);
  void Run();

  KeyValueStore& mStore;
  IntentSettings mSettings;
  std::string mIncarnation;
  const Clock& mClock;
  Metrics& mMetrics;

  std::mutex mMutex;
  std::condition_variable mWake;
  std::map<std::string, IntentRecord> mLive; ///< mine, until the key-value service has the end
  std::deque<Pending> mPending;
  LeaseId mLease = 0;
  TimePoint mLeaseGranted{};
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
