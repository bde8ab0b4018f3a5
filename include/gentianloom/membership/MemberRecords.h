#ifndef GENTIANLOOM_MEMBERSHIP_MEMBER_RECORDS_H
#define GENTIANLOOM_MEMBERSHIP_MEMBER_RECORDS_H

#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/membership/MembershipService.h"

namespace gentianloom {

/// Prefix of the keys of router records.
inline constexpr std::string_view kMemberKeyPrefix = "/gentianloom/members/";

/// Intervals of calls to the key-value service.
struct MemberRecordIntervals
{
  std::chrono::seconds mTtl{ 300 };           ///< time to live of the lease
  std::chrono::seconds mRenewInterval{ 100 }; ///< between two renewals of the lease
  std::chrono::seconds mReadInterval{ 300 };  ///< between two reads of all records
  /// Between two reads while no other router is alive or suspect.
  std::chrono::seconds mReadWhileAlone{ 5 };
};

/**
 * @brief Stores a record of this router under a lease and periodically reads the records of all
 * routers.
 *
 * A record only adds a candidate to probe; a missing record has no effect on membership. With
 * the default intervals, a fleet of N routers makes N/100 writes and N/300 reads a second (720
 * routers: 7.2 and 2.4).
 */
class MemberRecords
{
public:
  MemberRecords(KeyValueStore& aStore,
                MembershipService& aMembership,
                const MemberRecordIntervals& aIntervals,
                const Clock& aClock,
                Metrics& aMetrics);
  ~MemberRecords();

  void Start();
  void Stop(); ///< revokes the lease, which deletes the record

  /**
   * @brief Renews the lease if its renewal is due, and reads the records if their read is due.
   * @return time until the next call is needed
   */
  Millis RunOnce();

private:
  void Run();
  Result<void> RenewRecord();
  Result<void> ReadRecords();

  KeyValueStore& mStore;
  MembershipService& mMembership;
  MemberRecordIntervals mIntervals;
  const Clock& mClock;
  Counter& mFailures;
  LeaseId mLease = 0;
  TimePoint mNextRenewal{};
  TimePoint mNextRead{};
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
