#ifndef GENTIANLOOM_MEMBERSHIP_MEMBER_RECORDS_H
#define GENTIANLOOM_MEMBERSHIP_MEMBER_RECORDS_H

#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/membership/MembershipService.h"

namespace gentianloom {

/// Prefix of the leased records of routers.
inline constexpr std::string_view kMembersPrefix = "/gentianloom/members/";

/// How often the key-value service is asked.
struct MemberRecordIntervals
{
  std::chrono::seconds mTtl{ 300 };       ///< life of a record without being kept alive
  std::chrono::seconds mKeepAlive{ 100 }; ///< one write in each
  std::chrono::seconds mRead{ 300 };      ///< one read in each
  std::chrono::seconds mReadAlone{ 5 };   ///< one read in each while no other router is known
};

/**
 * @brief Keeps one small record of this router under a lease, and reads the others' records rarely.
 *
 * A record only adds a candidate to probe; its absence says nothing. Calls a second of a fleet of N
 * routers: N/100 writes and N/300 reads (at 720: 7.2 and 2.4).
 */
class MemberRecords
{
public:
  MemberRecords(KeyValueStore& aStore,
                MembershipService& aMembership,
                const MemberRecordIntervals& aTimes,
                const Clock& aClock,
                Metrics& aMetrics);
  ~MemberRecords();

  void Start();
  void Stop(); ///< gives the lease back, so that the record vanishes

  /**
   * @brief Does what is due.
   * @return time until something is due again
   */
  Millis RunOnce();

private:
  void Run();
  Result<void> Keep();
  Result<void> Read();

  KeyValueStore& mStore;
  MembershipService& mMembership;
  MemberRecordIntervals mTimes;
  const Clock& mClock;
  Counter& mFailures;
  LeaseId mLease = 0;
  TimePoint mNextKeep{};
  TimePoint mNextRead{};
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
