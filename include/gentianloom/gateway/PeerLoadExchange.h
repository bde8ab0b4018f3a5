#ifndef GENTIANLOOM_GATEWAY_PEER_LOAD_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_PEER_LOAD_EXCHANGE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/routing/EndpointContact.h"
#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/EvenLoad.h"

#include <functional>
#include <string>
#include <vector>

namespace gentianloom {

/// Prompt tokens that one instance has sent to an endpoint and that await prefill there.
struct PendingTokens
{
  std::uint64_t mEndpointHash = 0; ///< StableHash() of the endpoint's ID
  std::int64_t mTokens = 0;
};

/// Load that an endpoint reported to the sender of a message.
struct HeardLoad
{
  std::uint64_t mEndpointHash = 0; ///< StableHash() of the endpoint's ID
  std::int64_t mRequests = 0;      ///< running and waiting
  std::int64_t mPacePercent = 0;   ///< see ReportedLoad; 0: not reported
  Millis mAge{ 0 };                ///< time since the sender received it
};

/// Load report from one instance to its peers. Each message holds the complete pending load, so the
/// next one makes up for a lost one.
struct PeerLoadMessage
{
  std::string mIncarnation;
  std::uint64_t mSequence = 0; ///< increases with each message; receivers ignore older ones
  std::vector<PendingTokens> mPending;
  /// Reports since the last message. An optional last element of the message: older versions ignore
  /// it, and it is not sent while it is empty.
  std::vector<HeardLoad> mHeard{};
};

/// @brief Encodes a message as MessagePack, to be sent in one datagram.
std::string EncodePeerLoad(const PeerLoadMessage& aMessage);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid message
Result<PeerLoadMessage> DecodePeerLoad(std::string_view aBytes);

/**
 * @brief Replaces the pending load that the sender last reported for each endpoint.
 *
 * Endpoints that the message does not name have no pending load from the sender any more.
 */
void ApplyPeerLoad(const PeerLoadMessage& aMessage,
                   const EndpointRegistry& aEndpoints,
                   TimePoint aNow);

/**
 * @brief Exchanges the pending prompt tokens of each endpoint with peer instances over UDP.
 *
 * An instance sees only its own requests, and the load figures that endpoints report arrive late.
 * Without this exchange, a short request could be placed behind a long prompt that another instance
 * has just sent to the same endpoint.
 */
class PeerLoadExchange
{
public:
  /**
   * @param aSocket carries the messages
   * @param aIncarnation unique ID of this run of the process
   * @param aPeerAddresses returns the current addresses of the other instances, IP:PORT
   * @param aEndpoints source of the load to send, and target of the load received
   * @param aContacts tells which services this instance reaches; of the others it reports nothing,
   *        since what it sent there may never have arrived
   * @param aEvenLoad tells for which services reported loads are passed on; null: for none
   */
  PeerLoadExchange(net::Loop& aLoop,
                   PeerSocket& aSocket,
                   std::string aIncarnation,
                   std::function<std::vector<std::string>()> aPeerAddresses,
                   EndpointRegistry& aEndpoints,
                   const EndpointContacts& aContacts,
                   const Clock& aClock,
                   Metrics& aMetrics,
                   const EvenLoadSwitch* aEvenLoad = nullptr);

  /// @brief Starts to send and to handle messages. Call it once.
  void Start();

  /// @brief Schedules a message to all peers after a change of the pending load.
  void NotifyChange();

private:
  net::Task<void> RunSender();
  void OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender);
  /// Reports of endpoints that have not been passed on yet.
  std::vector<HeardLoad> TakeHeard();
  /// @return bytes of the datagrams, including their headers
  std::size_t SendToPeers();

  net::Loop& mLoop;
  PeerSocket& mSocket;
  std::string mIncarnation;
  std::function<std::vector<std::string>()> mPeerAddresses;
  EndpointRegistry& mEndpoints;
  const EndpointContacts& mContacts;
  const Clock& mClock;
  Metrics& mMetrics;
  const EvenLoadSwitch* mEvenLoad;
  net::Signal mSendSignal;
  TimePoint mLastSentAt{};
  bool mHasUnsentChange = false;
  bool mHasReportedPending = false;
  std::uint64_t mSequence = 0;
  std::map<std::string, std::uint64_t> mLastSequences; ///< by the sender's incarnation
};

} // namespace gentianloom

#endif
