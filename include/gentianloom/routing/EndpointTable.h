#ifndef GENTIANLOOM_ROUTING_ENDPOINT_TABLE_H
#define GENTIANLOOM_ROUTING_ENDPOINT_TABLE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/routing/CrashGuard.h"
#include "gentianloom/routing/EndpointPools.h"
#include "gentianloom/routing/EndpointRecord.h"
#include "gentianloom/routing/PlacementPolicy.h"
#include "gentianloom/routing/RoutingSettings.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// Endpoint that was chosen for a request.
struct Placement
{
  std::string mEndpoint;
  std::string mAddress;
};

/// Optional properties of a request that affect its placement.
struct PlacementHints
{
  std::string mFingerprint; ///< see ContentFingerprint(); empty: the crash guard does not check it
  std::string mAdapter;     ///< adapter that the endpoint must serve; empty: none
  PrefixHashes mPrefixes;   ///< hashes of the prompt's prefixes; empty: not considered
};

/**
 * @brief Keeps the state of all known endpoints and chooses among them. Thread-safe.
 *
 * Combines availability, load, cached prefixes, concurrency limits, ejection and the crash guard;
 * each is a class of its own. No call blocks on the network.
 */
class EndpointTable final : public AttemptObserver
{
public:
  /// @brief Creates a table with default settings, the system clock and no crash guard.
  /// @param aOverrides addresses from the settings, by endpoint name; they override the instance
  /// list
  explicit EndpointTable(const std::map<std::string, std::string>& aOverrides);

  /**
   * @param aMaxAvailabilityAge an endpoint gets new requests only if it was last observed as
   * available within this time
   * @param aGuard checks requests that have a fingerprint; may be null
   * @param aSeed seed of the random source
   */
  EndpointTable(const std::map<std::string, std::string>& aOverrides,
                const RoutingSettings& aSettings,
                Millis aMaxAvailabilityAge,
                const Clock& aClock,
                CrashGuard* aGuard,
                std::uint64_t aSeed);

  /// @brief Applies an entry of the instance list.
  void Update(const ListedEndpoint& aEntry);

  /// @brief Applies a load report of an endpoint, with its cache events. The report of an unknown
  /// endpoint is only passed to the crash guard.
  void Update(const LoadReport& aReport);

  /// @brief Applies a state change from a peer: "leaving" or "gone" if the endpoint accepts no new
  /// requests, "back" if it accepts them again. A change of an unknown endpoint, or one that is
  /// older than 60 s, is ignored.
  void Update(const wire::EndpointNews& aChange);

  /// @brief Removes and returns the state changes that are to be sent to peers.
  std::vector<wire::EndpointNews> TakeStateChanges();

  /**
   * @brief Chooses an endpoint that serves a model, by the placement policy, and counts the request
   * as in flight there.
   * @param aZone availability zone of this router; its endpoints are preferred
   * @param aExcluded endpoints on which the request was already attempted
   * @return the placement, or an error with a retry time:
   * - ErrorCode::RequestCrashesEndpoints if the crash guard blocks the request
   * - ErrorCode::NoEndpoint if no endpoint that serves the model and the adapter is available, or
   *   all of them are excluded
   * - ErrorCode::Overloaded if there are available endpoints, but each is at capacity, ejected, or
   *   not permitted because the request and another one that runs there are both suspects
   * @par Complexity linear in the model's endpoints
   */
  Result<Placement> PlaceModel(const AcceptedConfiguration& aConfiguration,
                               const std::string& aModel,
                               const std::string& aZone,
                               std::span<const std::string> aExcluded = {},
                               const PlacementHints& aHints = {});

  /// @brief Chooses an endpoint of a plain service (one without a model) and counts the request as
  /// in flight there.
  /// @param aZone, aExcluded see PlaceModel()
  /// @return the placement, or an error with a retry time: ErrorCode::NoEndpoint or
  /// ErrorCode::Overloaded, see PlaceModel()
  Result<Placement> PlaceService(const ServiceSpec& aService,
                                 const std::string& aZone,
                                 std::span<const std::string> aExcluded = {});

  /// @brief Address of an endpoint; empty if it is not known. Does not count a request.
  std::string AddressOf(const std::string& aEndpoint);

  /// @brief Counts a request as no longer in flight on its endpoint.
  void Release(const std::string& aEndpoint);

  /// @brief Records the outcome of an attempt and forwards it to the crash guard.
  void OnAttempt(const Attempt& aAttempt) override;

  /// @brief Records the time to the first token, which adapts the endpoint's concurrency limit.
  void OnFirstToken(const std::string& aEndpoint, Micros aTimeToFirstToken) override;

  /// @brief Endpoints that this router polls next, at most RoutingSettings::mMaxPolled.
  /// @param aRouter name of this router, which selects its subset of the endpoints
  /// @param aZone availability zone of this router
  std::vector<PollTarget> PollTargets(const AcceptedConfiguration& aConfiguration,
                                      const std::string& aRouter,
                                      const std::string& aZone);

  /// @brief Whether the address of an endpoint of a model is known and the endpoint is not leaving.
  /// A request that found no available endpoint may then wait for it.
  bool HasNonLeavingEndpoint(const AcceptedConfiguration& aConfiguration,
                             const std::string& aModel);

  /// @brief Whether the crash guard suspects a request of crashing endpoints.
  bool IsSuspect(const std::string& aFingerprint);

  /// @brief Sequence number of the last cache event of an endpoint process; 0 if none is known.
  std::int64_t LastCacheEventSequence(const std::string& aEndpoint, const std::string& aRunId);

  /// @brief Number of this router's requests in flight on an endpoint.
  std::int64_t InFlight(const std::string& aEndpoint);

private:
  struct PlacementQuery
  {
    std::span<const PoolMember> mPool;
    const std::string& mZone;
    std::span<const std::string> mExcluded;
    const PlacementHints& mHints;
    bool mIsSuspect = false;
    /// endpoints that are running a request that is suspected or blocked by the crash guard
    std::set<std::string> mEndpointsRunningSuspects;
  };

  Result<Placement> Place(const PlacementQuery& aQuery);
  std::vector<EndpointRecord*> FindAvailable(const PlacementQuery& aQuery, TimePoint aNow);
  void RemoveEjected(std::vector<EndpointRecord*>& aRecords, TimePoint aNow) const;
  void RemoveEndpointsRunningSuspects(std::vector<EndpointRecord*>& aRecords,
                                      const PlacementQuery& aQuery) const;
  std::size_t Choose(std::span<EndpointRecord* const> aRecords,
                     const PlacementQuery& aQuery,
                     TimePoint aNow);
  Result<void> CheckCrashGuard(PlacementQuery& aQuery) const;
  void QueueStateChange(const EndpointRecord& aRecord, bool aWasLeaving);

  RoutingSettings mSettings;
  Millis mMaxAvailabilityAge;
  const Clock& mClock;
  CrashGuard* mGuard;
  std::mutex mMutex;
  RandomSource mRandom;
  std::unique_ptr<PlacementPolicy> mPolicy;
  std::map<std::string, EndpointRecord> mRecords;
  EndpointPools mPools;
  std::map<std::string, LatencyBaseline> mLatencyBaselines; ///< by model
  std::map<std::string, TimePoint> mLastRequestedAt;        ///< by model: time of the last request
  std::vector<wire::EndpointNews> mStateChanges;
};

} // namespace gentianloom

#endif
