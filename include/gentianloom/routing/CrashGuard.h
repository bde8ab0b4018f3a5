#ifndef GENTIANLOOM_ROUTING_CRASH_GUARD_H
#define GENTIANLOOM_ROUTING_CRASH_GUARD_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/routing/AttemptObserver.h"

#include "gen-cpp/peer_types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gentianloom {

/**
 * @brief Hashes the organisation and the content of a request. The request id is not included, so
 * that a repeated request has the same fingerprint.
 * @return 32 hexadecimal digits
 * @par Complexity linear in the body
 */
std::string ContentFingerprint(std::string_view aOrganisation, std::string_view aBody);

/// Limits of the crash guard.
struct CrashGuardSettings
{
  Millis mBlockTime{ 600'000 };     ///< how long a request that crashed endpoints is refused
  Millis mSuspectWindow{ 300'000 }; ///< how long one crash makes a request a suspect
  Millis mSameCrashWindow{
    5'000
  }; ///< interruptions of one endpoint within this time are one crash
};

/// Whether a request may be placed.
enum class CrashVerdict : std::uint8_t
{
  NotSuspected, ///< no crash is attributed to the request
  Suspect, ///< ran on an endpoint that crashed: must not share an endpoint with another suspect
  Blocked  ///< crashed two endpoints: must be refused
};

/// Result of CrashGuard::Check().
struct CrashCheckResult
{
  CrashVerdict mVerdict = CrashVerdict::NotSuspected;
  Millis mBlockRemaining{ 0 }; ///< time until the block ends; 0 unless blocked
};

/**
 * @brief Detects and blocks requests that crash the endpoints that run them. Thread-safe.
 *
 * When an endpoint crashes, every request of this router that it was running becomes a suspect.
 * Suspects are then placed on different endpoints, so that the next crash identifies the cause: a
 * complete answer clears a suspect, a second crash blocks it in the whole fleet for
 * CrashGuardSettings::mBlockTime. After a block has ended, one more crash blocks the request again.
 *
 * Interruptions of several endpoints at the same time are treated as a network fault and attributed
 * to no request. The same holds for an interruption after which the same process of the endpoint
 * still answers.
 */
class CrashGuard final : public AttemptObserver
{
public:
  /// @param aRouter name of this router process; prefix of the identifiers of its observations
  CrashGuard(const CrashGuardSettings& aSettings, const Clock& aClock, std::string aRouter);

  /// @brief Returns whether a request may be placed. @par Complexity constant
  CrashCheckResult Check(const std::string& aFingerprint);

  /// @brief Records that a request was placed on an endpoint.
  void OnPlaced(const std::string& aFingerprint, const std::string& aEndpoint);

  /// @brief Records the outcome of an attempt: an interruption may be a crash, a complete answer
  /// clears the request.
  void OnAttempt(const Attempt& aAttempt) override;

  /**
   * @brief Records that an endpoint answers. If it is the same process as before an interruption,
   * it did not crash, and the recorded crash is removed from the requests that were interrupted.
   * @param aRunId identifier of the endpoint's process; empty: not known
   */
  void OnEndpointAnswered(const std::string& aEndpoint, const std::string& aRunId);

  /// @brief Endpoints that are running a suspect or blocked request of this router.
  std::set<std::string> EndpointsRunningSuspects();

  /// @brief Returns an endpoint that is running a request of this router with the fingerprint;
  /// empty if there is none.
  std::string FindRunningEndpoint(const std::string& aFingerprint);

  /// @brief Removes and returns the crash observations that are to be sent to peers.
  std::vector<wire::CrashNews> TakeObservations();

  /// @brief Merges a crash observation of a peer and queues it for forwarding. A known observation
  /// is ignored.
  void MergeObservation(const wire::CrashNews& aObservation);

  /// @brief Sets a callback for new local observations, which should reach peers at once. It is
  /// called without a lock held.
  void SetOnObservation(std::function<void()> aOnObservation)
  {
    mOnObservation = std::move(aOnObservation);
  }

private:
  /// One crash that a request may have caused.
  struct Crash
  {
    std::string mEndpoint;
    TimePoint mAt;
    std::string mObservation; ///< identifier of the observation
    std::string mRunId;       ///< process of the endpoint that crashed; empty: not known
    bool mIsLocal = false;    ///< observed by this router
  };
  /// Crashes and block of one request, by its fingerprint.
  struct Record
  {
    std::vector<Crash> mCrashes;
    TimePoint mBlockedUntil{};
    bool mWasBlocked = false;
  };
  /// An interrupted attempt of this router.
  struct InterruptedAttempt
  {
    std::string mEndpoint;
    std::string mFingerprint;
    TimePoint mAt;
  };

  struct PendingObservation
  {
    TimePoint mObservedAt;
    wire::CrashNews mObservation;
  };

  void OnInterrupted(const Attempt& aAttempt, TimePoint aNow);
  bool IsNetworkFault() const;
  /// @return whether the crash was added: false if it is a known crash or the table is full
  bool AddCrash(const std::string& aFingerprint, Crash aCrash);
  /// @return whether the observation is new
  bool MarkKnown(const std::string& aObservation);
  void QueueObservation(const wire::CrashNews& aObservation, TimePoint aObservedAt);
  void RemoveCrashes(const std::function<bool(const Crash&)>& aPredicate);
  void RemoveExpired(TimePoint aNow);
  CrashCheckResult Evaluate(const std::string& aFingerprint, TimePoint aNow) const;
  void RemoveRunning(const std::string& aFingerprint, const std::string& aEndpoint);

  CrashGuardSettings mSettings;
  const Clock& mClock;
  std::string mRouter;
  std::function<void()> mOnObservation;
  std::mutex mMutex;
  std::unordered_map<std::string, Record> mRecords;         ///< by fingerprint
  std::multimap<std::string, std::string> mRunningRequests; ///< fingerprint to endpoint
  std::map<std::string, std::string> mLastRunIds;           ///< last known process of each endpoint
  std::vector<InterruptedAttempt> mRecentInterruptions;     ///< within the last second
  std::vector<PendingObservation> mPendingObservations;
  std::unordered_set<std::string> mKnownObservations; ///< identifiers; bounded
  std::deque<std::string> mKnownOrder;                ///< the same identifiers, oldest first
  std::uint64_t mObservationCount = 0;
  TimePoint mLastCleanup{};
};

} // namespace gentianloom

#endif
