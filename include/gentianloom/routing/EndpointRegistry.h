#ifndef GENTIANLOOM_ROUTING_ENDPOINT_REGISTRY_H
#define GENTIANLOOM_ROUTING_ENDPOINT_REGISTRY_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/routing/EndpointEntry.h"
#include "gentianloom/routing/EndpointLoad.h"
#include "gentianloom/routing/EvacuatedZones.h"
#include "gentianloom/routing/RateLimit.h"
#include "gentianloom/routing/RefusalWindow.h"
#include "gentianloom/routing/RequestHold.h"
#include "gentianloom/routing/WarmUp.h"
#include "gentianloom/routing/ZoneRegions.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// State of an entry in the registry.
enum class EntryState : std::uint8_t
{
  Listed,  ///< the last read or watch event contained the entry
  Missing, ///< the entry may have expired during an outage of the key-value service and be renewed
  Removed  ///< the endpoint is no longer registered
};

/// What EndpointRegistry::Put() did with an entry.
enum class PutResult : std::uint8_t
{
  Applied,
  Outdated,  ///< it was written before the known one, which holds
  LacksStart ///< it states no start although the endpoint has: another program wrote it
};

/// One process of an endpoint, with the state that this instance keeps for it.
struct Endpoint
{
  EndpointEntry mEntry;
  /// Stands for another instance, which serves requests for this one at any endpoint of the
  /// service.
  bool mIsPeerInstance = false;
  std::uint64_t mHash = 0; ///< hash of the id; cached because each request needs it
  EntryState mState = EntryState::Listed;
  TimePoint mLastSeenAt{};   ///< time of the last read or watch event that contained the entry
  TimePoint mMissingSince{}; ///< set with EntryState::Missing
  /// The process has stated in a response that it is leaving. Unlike the entry's state, this holds
  /// until the process ends.
  bool mHasAnnouncedLeaving = false;
  EndpointLoad mLoad;
  RequestHold mHold;
  StatedRateLimit mRateLimit;
  WarmUp mWarmUp;
  RefusalWindow mWindow;
  std::shared_ptr<const EvacuatedZones> mEvacuatedZones; ///< null: no zone is evacuated

  /// @brief Whether the endpoint is registered, does not leave and is in no evacuated zone.
  bool AcceptsRequests() const
  {
    return mState != EntryState::Removed && !mEntry.mIsLeaving && !mHasAnnouncedLeaving &&
           !IsEvacuated();
  }

  /// @brief Whether an operator has evacuated the endpoint's availability zone.
  bool IsEvacuated() const { return mEvacuatedZones && mEvacuatedZones->IsEvacuated(mEntry.mZone); }

  /// @brief Whether the endpoint accepts requests and no pause that it asked for holds.
  bool AcceptsRequests(TimePoint aNow) const { return AcceptsRequests() && !mHold.IsPaused(aNow); }

  /// @brief Whether a request needs a permit, see RequestPermits.
  bool NeedsPermit(TimePoint aNow) const
  {
    return mRateLimit.IsLimited() || mWarmUp.IsLimited(aNow);
  }

  /// @brief Whether a request needs no permit, or a permit may be asked for.
  bool AllowsQuery(TimePoint aNow) const
  {
    return !NeedsPermit(aNow) || aNow >= mRateLimit.DeniedUntil();
  }

  /// @brief Time until AllowsQuery(); zero if it does.
  Micros TimeUntilQuery(TimePoint aNow) const;
};

/**
 * @brief The endpoints that are registered in the key-value service. No clock or I/O; not
 * thread-safe.
 *
 * If an entry disappears while the key-value service is available, the endpoint has stopped. If it
 * disappears during or after an outage, perhaps only its lease has expired: the endpoint is kept
 * for kRenewalGracePeriod and gets requests only if no other endpoint is listed.
 */
class EndpointRegistry
{
public:
  using Ptr = std::shared_ptr<Endpoint>;

  /// Time within which endpoints renew entries that expired during an outage of the key-value
  /// service.
  static constexpr Millis kRenewalGracePeriod{ 2'000 };

  /// Time for which removed endpoints are remembered, and until their pauses end; longer than a
  /// copy of the key-value service is old when the service comes back from it.
  static constexpr Millis kRemovedEntryRetention{ 60'000 };

  /// @brief Sets a function that is called with the address of a process when it is known to be
  /// another one than ran there before.
  void OnNewProcess(std::function<void(const std::string& aAddress)> aHandler)
  {
    mOnNewProcess = std::move(aHandler);
  }

  /// @brief Sets the requests per second that the endpoints of services can take of all instances
  /// while they warm up. Services that are not named have no such limit.
  void SetWarmUpLimits(std::map<std::string, double, std::less<>> aLimits);

  /**
   * @brief Adds or updates an entry. A different start time, address, service or software version
   *        means a new process, which gets a new record.
   *
   * Writes can take effect late and out of order. An entry that was written before the one that is
   * known or was removed, however often it comes, changes nothing of what is known; see
   * CompareEntries() and AcceptConfirmed().
   */
  PutResult Put(EndpointEntry aEntry, TimePoint aNow);

  /// @brief The endpoint with an id; null if it is not known or was removed.
  Ptr Find(std::string_view aId) const;

  /// @brief Applies the removal of an entry: removes the endpoint, or marks it as missing.
  /// @param aAfterOutage whether the endpoint may still run, because its lease may have expired
  /// during an outage
  void Remove(std::string_view aId, bool aAfterOutage, TimePoint aNow);

  /// @brief Replaces all entries: entries that the list does not contain are removed as by
  /// Remove().
  void Replace(std::vector<EndpointEntry> aEntries, bool aAfterOutage, TimePoint aNow);

  /**
   * @brief Drops the entries of an older copy that say less than is known here.
   *
   * An entry is outdated if the same process has written a later one, or has been removed since.
   * For a known endpoint the known entry takes its place.
   */
  void DropOutdated(std::vector<EndpointEntry>& aEntries) const;

  /// @brief Notes that an endpoint stated in a response that it is leaving. Unknown ids are
  /// ignored.
  void OnLeaving(std::string_view aId);

  /// @brief Removes an endpoint whose address now belongs to another one.
  void OnAddressReassigned(std::string_view aId, TimePoint aNow);

  /// @brief Makes the endpoints at an address whose process has ended the last resort for
  /// EndpointLoad::kUnreachableSuspension.
  void SuspendAddress(std::string_view aAddress, TimePoint aNow);

  /// @brief Service of the endpoint at an address; empty if there is none.
  std::string ServiceAt(std::string_view aAddress) const;

  /// @brief Removes endpoints that have been missing for kRenewalGracePeriod. Must be called
  /// periodically.
  void RemoveExpired(TimePoint aNow);

  /// @brief Applies entries of processes that look earlier than known ones, but run; see
  /// UnconfirmedEntries. Must be called periodically.
  /// @param aConfirmedUntil time until which all changes of the key-value service were received
  void AcceptConfirmed(TimePoint aConfirmedUntil, TimePoint aNow);

  /// @brief Endpoints of a service that accept requests, have not asked for a pause and whose rate
  /// limit and window leave room; missing ones only if none is listed.
  /// @param aSoftwareVersion only endpoints with this version of their software, if it is set
  /// @param aZones only endpoints in these zones
  std::vector<Ptr> UsableEndpoints(std::string_view aService,
                                   TimePoint aNow,
                                   std::optional<std::string_view> aSoftwareVersion = std::nullopt,
                                   const AllowedZones& aZones = std::nullopt) const;

  /// @brief Time until the first of the service's endpoints may get a request again, if all of
  /// those that accept requests have asked for a pause or have reached their rate limit; otherwise
  /// nothing.
  /// @param aZones only endpoints in these zones count
  std::optional<Micros> TimeUntilPauseEnds(std::string_view aService,
                                           TimePoint aNow,
                                           const AllowedZones& aZones = std::nullopt) const;

  /// @brief The zones whose endpoints get no requests. A change holds at once, also for requests
  /// that have chosen an endpoint and were not sent yet.
  EvacuatedZones& Evacuated() { return *mEvacuatedZones; }

  /// @brief All endpoints by id.
  const std::map<std::string, Ptr, std::less<>>& All() const { return mEndpoints; }

  std::size_t Size() const { return mEndpoints.size(); }

private:
  using EndpointMap = std::map<std::string, Ptr, std::less<>>;

  /// An endpoint that was removed. Requests in flight still note here what it says.
  struct RemovedEndpoint
  {
    Ptr mEndpoint;
    TimePoint mRemovedAt{};
    bool mIsDeleted = false; ///< its key was deleted while the key-value service was available
  };

  /// Applies an entry that is later than the known one, or whose process runs.
  void Apply(EndpointEntry aEntry, TimePoint aNow);

  /// @param aIsDeleted see RemovedEndpoint
  void RemoveRecord(EndpointMap::iterator aEndpoint, bool aIsDeleted, TimePoint aNow);

  /// Whether an entry without a start is about an endpoint that has stated its start.
  bool LacksStart(const EndpointEntry& aEntry) const;

  /// The known or removed endpoint with an id; null if there is none.
  Ptr FindRemembered(std::string_view aId) const;

  /// Order of an entry against the one that is known, or was when the endpoint was removed.
  EntryOrder OrderOf(const EndpointEntry& aEntry) const;

  /// Lists an endpoint again whose key exists again. Only changes of entries are reported, so
  /// nothing later may follow an earlier entry that says the same.
  void RelistIfSame(const EndpointEntry& aEntry);

  /// Whether an endpoint of a service states that too many refusals would end it.
  bool IsBrittle(std::string_view aService) const;

  std::optional<double> WarmUpLimitOf(std::string_view aService) const;

  /// Creates the record of a process that was not known, or returns the one that was removed.
  Ptr AddRecord(const EndpointEntry& aEntry);

  EndpointMap mEndpoints;
  std::map<std::string, RemovedEndpoint, std::less<>> mRemoved;
  UnconfirmedEntries mUnconfirmed;
  std::shared_ptr<EvacuatedZones> mEvacuatedZones = std::make_shared<EvacuatedZones>();
  std::function<void(const std::string&)> mOnNewProcess;
  std::map<std::string, double, std::less<>> mWarmUpLimits; ///< by service
};

} // namespace gentianloom

#endif
