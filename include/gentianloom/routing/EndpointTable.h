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

/// Where a request goes.
struct Placement
{
  std::string mEndpoint;
  std::string mAddress;
};

/// What is known of a request that helps to place it; all optional.
struct PlaceHints
{
  std::string mFingerprint; ///< see ContentFingerprint()
  std::string mAdapter;
  PrefixHashes mPrefixes;
};

/**
 * @brief The endpoints that this router knows, and the choice among them. Thread-safe.
 *
 * Puts together standing, load, prefixes, limits, ejection and the crash guard; each is a class of
 * its own. No call blocks on the network.
 */
class EndpointTable final : public AttemptObserver
{
public:
  /// @param aOverrides addresses from the settings, by endpoint name; they win
  explicit EndpointTable(const std::map<std::string, std::string>& aOverrides);

  /**
   * @param aStanding most age of good news about an endpoint that gets new work
   * @param aGuard judges requests with a fingerprint; may be null
   * @param aSeed of the random source
   */
  EndpointTable(const std::map<std::string, std::string>& aOverrides,
                const RoutingSettings& aSettings,
                Millis aStanding,
                const Clock& aClock,
                CrashGuard* aGuard,
                std::uint64_t aSeed);

  /// @brief Takes over what the instance list says of an endpoint.
  void Learn(const EndpointState& aState);

  /// @brief Takes an endpoint's own load report, with its cache events.
  void Learn(const LoadReport& aReport);

  /// @brief Takes a peer's news: "leaving", "gone" or "back".
  void Learn(const wire::EndpointNews& aNews);

  /// @brief Takes the changes of standing seen at first hand that peers were not told yet.
  std::vector<wire::EndpointNews> TakeEndpointNews();

  /**
   * @brief Chooses an endpoint that serves a model, by the policy, and counts the request on it.
   * @param aExcluded endpoints that the request was tried on already
   * @return the placement; ErrorCode::Overloaded if endpoints are there but have no room now;
   *         ErrorCode::NoEndpoint; ErrorCode::RequestCrashesEndpoints with the rest of the block
   * @par Complexity linear in the model's endpoints
   */
  Result<Placement> PlaceModel(const AcceptedConfiguration& aConfiguration,
                               const std::string& aModel,
                               const std::string& aZone,
                               std::span<const std::string> aExcluded = {},
                               const PlaceHints& aHints = {});

  /// @brief Chooses an endpoint of a plain service and counts the request on it.
  Result<Placement> PlaceService(const ServiceSpec& aService,
                                 const std::string& aZone,
                                 std::span<const std::string> aExcluded = {});

  /// @brief Address of an endpoint, empty if it is not known. Does not count a request on it.
  std::string AddressOf(const std::string& aEndpoint);

  /// @brief Counts a request as gone from its endpoint.
  void Release(const std::string& aEndpoint);

  /// @brief Learns how an attempt ended; passes it on to the crash guard.
  void OnAttempt(const Attempt& aAttempt) override;
  void OnFirstToken(const std::string& aEndpoint, Micros aFirstToken) override;

  /// @brief Endpoints to poll in this round, nearest first, bounded by the settings.
  std::vector<PollTarget> PollTargets(const AcceptedConfiguration& aConfiguration,
                                      const std::string& aRouter,
                                      const std::string& aZone);

  /// @brief Whether an endpoint of a model is known that is not leaving, so that waiting may help.
  bool AnyMayReturn(const AcceptedConfiguration& aConfiguration, const std::string& aModel);

  /// @brief Whether a request is a suspect of the crash guard.
  bool IsSuspect(const std::string& aFingerprint);

  /// @brief Sequence number of the last cache event of an endpoint's run; 0 if none is known.
  std::int64_t LastCacheEvent(const std::string& aEndpoint, const std::string& aRun);

  /// @brief Own requests in flight on an endpoint.
  std::int64_t InFlight(const std::string& aEndpoint);

private:
  struct Choice
  {
    std::span<const PoolMember> mPool;
    const std::string& mZone;
    std::span<const std::string> mExcluded;
    const PlaceHints& mHints;
    bool mSuspect = false;
    std::set<std::string> mSuspectsOn; ///< endpoints that run a suspect now
  };

  Result<Placement> Place(const Choice& aChoice);
  std::vector<EndpointRecord*> InStanding(const Choice& aChoice, TimePoint aNow);
  void DropEjected(std::vector<EndpointRecord*>& aRecords, TimePoint aNow) const;
  void AvoidSuspects(std::vector<EndpointRecord*>& aRecords, const Choice& aChoice) const;
  std::size_t Choose(std::span<EndpointRecord* const> aRecords,
                     const Choice& aChoice,
                     TimePoint aNow);
  Result<void> CheckGuard(Choice& aChoice) const;
  void NoteNews(const EndpointRecord& aRecord, bool aWasLeaving);

  RoutingSettings mSettings;
  Millis mStandingLimit;
  const Clock& mClock;
  CrashGuard* mGuard;
  std::mutex mMutex;
  RandomSource mRandom;
  std::unique_ptr<PlacementPolicy> mPolicy;
  std::map<std::string, EndpointRecord> mRecords;
  EndpointPools mPools;
  std::map<std::string, TypicalTimes> mTypical; ///< by model
  std::map<std::string, TimePoint> mAskedFor;   ///< by model, when a caller last asked for it
  std::vector<wire::EndpointNews> mNews;
};

} // namespace gentianloom

#endif
