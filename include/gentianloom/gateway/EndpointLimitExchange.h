#ifndef GENTIANLOOM_GATEWAY_ENDPOINT_LIMIT_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_ENDPOINT_LIMIT_EXCHANGE_H

#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/relay/RequestPermits.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// What a message says of the warm-up of an endpoint.
struct WarmUpStatement
{
  double mRequestsPerSecond = 0; ///< that the endpoint can take of all instances
  Millis mRemaining{ 0 };
};

/// Message about the rate limit of one process of an endpoint.
struct EndpointLimitMessage
{
  /// EndpointLimit, a statement; PermitQuery, PermitAnswer, or EndpointFull.
  PeerMessageKind mKind = PeerMessageKind::EndpointLimit;
  std::uint64_t mQuery = 0; ///< of a query and its answer
  std::string mEndpoint;    ///< id
  std::int64_t mStartedAt = 0;
  std::optional<double> mRequestsPerSecond; ///< nothing: the endpoint states no limit
  Micros mStatedAgo{ 0 };                   ///< of the response that the sender knows it from
  bool mIsGranted = false;                  ///< of an answer
  Millis mWait{ 0 };                        ///< of a denial: time until the next query;
                                            ///< of EndpointFull: time without requests
  /// Nothing: the endpoint does not warm up, or the sender is of a version that keeps no such
  /// limit.
  std::optional<WarmUpStatement> mWarmUp{};
  TimePoint mAskedAt{}; ///< of an answer, when its query was sent; not part of the datagram
};

/// @brief Encodes a message as MessagePack, to be sent in one datagram.
std::string EncodeEndpointLimit(const EndpointLimitMessage& aMessage);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid message
Result<EndpointLimitMessage> DecodeEndpointLimit(std::string_view aBytes);

/**
 * @brief Keeps what endpoints want of all instances together: their rate limits, and no requests
 * for a moment if they are full and refusals would end them.
 *
 * The first instance in the rendezvous order of an endpoint gives out the permits for its requests;
 * the second one does while the first does not answer. What a response states is told to both, and
 * a change of it by the first one to all instances. Queries state what the sender knows, so that an
 * instance that begins to give out permits need not have heard of the limit.
 *
 * An endpoint that warms up has a limit as well, and few of its permits are saved up; the lower
 * limit applies. Both keepers may give out these permits at the same time, see KeeperRate().
 */
class EndpointLimitExchange final : public RequestPermits
{
public:
  /// Instances that may give out the permits of one endpoint.
  static constexpr std::size_t kKeepers = 2;
  /// Longest wait for an answer.
  static constexpr Millis kAnswerTimeout{ 60 };
  /// An instance that did not answer is not asked for this time.
  static constexpr Millis kUnresponsiveTime{ 1'000 };
  /// Time for which an endpoint gets nothing if no instance gives out its permits.
  static constexpr Millis kNoKeeperPause{ 300 };
  /// A denied instance asks again after at least this time for each instance of the fleet, which
  /// bounds the queries for one endpoint.
  static constexpr Millis kDenialPerInstance{ 5 };
  /// Time without requests for a full endpoint, unless it asks for a pause itself.
  static constexpr Millis kFullPause{ 600 };
  /// Most endpoints whose limits an instance keeps for others.
  static constexpr std::size_t kMaxKept = 4'096;

  /// What keeping the warm-up limit takes.
  struct WarmUpRule
  {
    /// Nothing: this instance keeps no such limit.
    std::optional<WarmUpBound> mBound;
    /// Whether the list of peers is complete. Until then the instance gives itself no permits.
    std::function<bool()> mKnowsPeers;
  };

  /**
   * @param aSelf address of this instance, the same that its peers know
   * @param aPeers returns the addresses of the other instances
   */
  EndpointLimitExchange(net::Loop& aLoop,
                        PeerSocket& aSocket,
                        std::string aSelf,
                        std::function<std::vector<std::string>()> aPeers,
                        EndpointRegistry& aEndpoints,
                        const Clock& aClock,
                        Metrics& aMetrics,
                        WarmUpRule aWarmUpRule = {});

  /// @brief Starts to handle messages. Call it once.
  void Start();

  /// @brief Logs which endpoints have begun or ended to warm up. Must be called periodically.
  void ReportWarmUps();

  net::Task<std::optional<TimePoint>> Take(EndpointRegistry::Ptr aEndpoint) override;
  void OnFull(const EndpointRegistry::Ptr& aEndpoint) override;
  void OnStated(const EndpointRegistry::Ptr& aEndpoint,
                std::optional<double> aRequestsPerSecond) override;
  void OnWarmUpStated(const EndpointRegistry::Ptr& aEndpoint, Millis aRemaining) override;

private:
  /// The limit of one process of an endpoint, for which this instance gives out permits.
  struct Kept
  {
    StatedRateLimit mLimit;
    PermitBucket mPermits;
    PermitTurns mTurns;
    TimePoint mUsedAt{};
  };

  /// A query that waits for its answer.
  struct Query
  {
    std::optional<EndpointLimitMessage> mAnswer;
    net::Signal* mSignal = nullptr;
  };

  EndpointLimitMessage MessageAbout(const Endpoint& aEndpoint, PeerMessageKind aKind) const;
  std::vector<std::string> KeepersOf(const std::string& aEndpoint) const;
  /// Asks a keeper. @return its answer, or nothing if it does not answer in time
  net::Task<std::optional<EndpointLimitMessage>> Ask(std::string aKeeper,
                                                     EndpointLimitMessage aQuery);
  /// Asks the keepers in turn. @return the first answer that keeps the limits of the query
  net::Task<std::optional<EndpointLimitMessage>> AskKeepers(EndpointLimitMessage aQuery);
  /// The warm-up limit for a query, as this keeper or the sender knows it.
  std::optional<WarmUpStatement> WarmUpFor(const EndpointLimitMessage& aQuery) const;
  std::optional<WarmUpStatement> WarmUpOf(const Endpoint& aEndpoint) const;
  void OnAnswer(Endpoint& aEndpoint, const EndpointLimitMessage& aAnswer);
  /// Longest wait of a denied instance for a permit of its own.
  Millis DenialTime() const;
  void Count(const char* aOutcome, const EndpointLimitMessage& aQuery);
  void SendToAll(const EndpointLimitMessage& aMessage);
  /// Takes over the warm-up that another instance states, and tells all as a keeper.
  void ApplyWarmUp(const EndpointLimitMessage& aStatement);
  /// Answers a query of this or another instance.
  EndpointLimitMessage Answer(const EndpointLimitMessage& aQuery);
  /// Takes over a statement that this instance keeps. @return whether it changes the limit
  bool Keep(const EndpointLimitMessage& aStatement);
  /// The listed endpoint that a message is about; null if this process of it is not listed.
  EndpointRegistry::Ptr ListedEndpoint(const EndpointLimitMessage& aMessage) const;
  /// Takes over a statement as the limit of a listed endpoint.
  void Apply(const EndpointLimitMessage& aStatement);
  /// Tells all instances, if this is the first keeper.
  void Announce(const EndpointLimitMessage& aStatement);
  void OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender);
  void DropOldest();

  net::Loop& mLoop;
  PeerSocket& mSocket;
  std::string mSelf;
  std::function<std::vector<std::string>()> mPeers;
  EndpointRegistry& mEndpoints;
  const Clock& mClock;
  Metrics& mMetrics;
  WarmUpRule mWarmUpRule;
  std::set<std::string> mWarmingUp;  ///< endpoints that were reported to warm up
  std::map<std::string, Kept> mKept; ///< by endpoint and its process
  std::map<std::uint64_t, Query> mQueries;
  std::map<std::string, TimePoint> mUnresponsiveUntil; ///< by instance
  std::uint64_t mNextQuery = 1;
};

} // namespace gentianloom

#endif
