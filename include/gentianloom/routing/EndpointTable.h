#ifndef GENTIANLOOM_ROUTING_ENDPOINT_TABLE_H
#define GENTIANLOOM_ROUTING_ENDPOINT_TABLE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Accepted.h"
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
  std::string mFingerprint; ///< see ContentFingerprint()
  std::string mAdapter;     ///< adapter that the endpoint must serve; empty: none
  PrefixHashes mPrefixes;
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
  /// @param aOverrides addresses from the settings, by endpoint name; they override the instance
  /// list
  explicit EndpointTable(const std::map<std::string, std::string>& aOverrides);

  /**
   * @param aMaxAvailabilityAge maximum age of the last "available" observation of an endpoint that
   * gets new requests
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

  /// @brief Applies a load report of an endpoint, with its cache events. An unknown endpoint is
  /// ignored.
  void Update(const LoadReport& aReport);

  /// @brief Applies a state change from a peer: "leaving", "gone" or "back". An unknown endpoint or
  /// a change that is older than 60 s is ignored.
  void Update(const wire::EndpointNews& aChange);

  /// @brief Removes and returns the state changes that have not been sent to peers.
  std::vector<wire::EndpointNews> TakeStateChanges();

  /**
   * @brief Chooses an endpoint that serves a model, by the placement policy, and counts the request
   * as in flight there.
   * @param aExcluded endpoints on which the request was already attempted
   * @return the placement, or an error with a retry time: ErrorCode::NoEndpoint if no endpoint is
   * available, ErrorCode::Overloaded if all available endpoints are at capacity,
   * ErrorCode::RequestCrashesEndpoints if the crash guard blocks the request
   * @par Complexity linear in the model's endpoints
   */
  Result<Placement> PlaceModel(const AcceptedConfiguration& aConfiguration,
                               const std::string& aModel,
                               const std::string& aZone,
                               std::span<const std::string> aExcluded = {},
                               const PlacementHints& aHints = {});

  /// @brief Chooses an endpoint of a plain service and counts the request as in flight there.
  /// @return the placement, or an error as of PlaceModel()
  Result<Placement> PlaceService(const ServiceSpec& aService,
                                 const std::string& aZone,
                                 std::span<const std::string> aExcluded = {});

  /// @brief Address of an endpoint; empty if it is not known. Does not count a request.
  std::string AddressOf(const std::string& aEndpoint);

  /// @brief Counts a request as no longer in flight on its endpoint.
  void Release(const std::string& aEndpoint);

  /// @brief Records the outcome of an attempt and forwards it to the crash guard.
  void OnAttempt(const Attempt& aAttempt) override;
  void OnFirstToken(const std::string& aEndpoint, Micros aFirstToken) override;

  /// @brief Endpoints whose load this router polls in this round, at most
  /// RoutingSettings::mMaxPolled.
  std::vector<PollTarget> PollTargets(const AcceptedConfiguration& aConfiguration,
                                      const std::string& aRouter,
                                      const std::string& aZone);

  /// @brief Whether an endpoint of a model is known that is not leaving, so that a request may wait
  /// for it.
  bool HasNonLeavingEndpoint(const AcceptedConfiguration& aConfiguration,
                             const std::string& aModel);

  /// @brief Whether a request is a suspect of the crash guard.
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
    std::set<std::string> mSuspectEndpoints; ///< endpoints that are running a suspect
  };

  Result<Placement> Place(const PlacementQuery& aQuery);
  std::vector<EndpointRecord*> FindAvailable(const PlacementQuery& aQuery, TimePoint aNow);
  void RemoveEjected(std::vector<EndpointRecord*>& aRecords, TimePoint aNow) const;
  void SeparateFromSuspects(std::vector<EndpointRecord*>& aRecords,
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
