#ifndef GENTIANLOOM_GATEWAY_PEER_LOAD_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_PEER_LOAD_EXCHANGE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/routing/EndpointRegistry.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>
#include <vector>

namespace gentianloom {

/// Prompt tokens that one instance has sent to an endpoint and that wait there to be read.
struct PendingTokens
{
  std::uint64_t mEndpointHash = 0; ///< hash of its name
  std::int64_t mTokens = 0;
};

/// What one instance tells the others: all that it has pending, so that a lost message does no
/// harm.
struct PeerLoadMessage
{
  std::string mIncarnation;
  std::uint64_t mSequence = 0; ///< grows with each message; older ones are passed over
  std::vector<PendingTokens> mPending;
};

/// @brief Writes a message for a datagram (MessagePack).
std::string EncodePeerLoad(const PeerLoadMessage& aMessage);

/// @brief Reads a datagram. @return ErrorCode::MalformedRequest if it is no message
Result<PeerLoadMessage> DecodePeerLoad(std::string_view aBytes);

/// @brief Takes a message into the endpoints' load. What it does not name is no longer pending.
void ApplyPeerLoad(const PeerLoadMessage& aMessage,
                   const EndpointRegistry& aEndpoints,
                   TimePoint aNow);

/**
 * @brief Tells other instances by datagrams which prompts this one has pending where.
 *
 * Each instance sees only its own requests, and endpoints' figures come late; what makes a short
 * request late is a long prompt that another instance sent a moment ago.
 */
class PeerLoadExchange
{
public:
  /// @param aPeerAddresses addresses of the other instances
  PeerLoadExchange(net::Loop& aLoop,
                   std::string aIncarnation,
                   std::function<std::vector<std::string>()> aPeerAddresses,
                   EndpointRegistry& aEndpoints,
                   const Clock& aClock,
                   Metrics& aMetrics);

  /// @brief Opens the address and starts. @return ErrorCode::BadSettings if it cannot be taken
  Result<void> Start(std::string_view aAddress);

  /// @brief Notes that something pending changed; it is told soon.
  void NotifyChange();

private:
  net::Task<void> RunSender();
  net::Task<void> RunReceiver();
  void SendToPeers();

  net::Loop& mLoop;
  std::string mIncarnation;
  std::function<std::vector<std::string>()> mPeerAddresses;
  EndpointRegistry& mEndpoints;
  const Clock& mClock;
  Metrics& mMetrics;
  boost::asio::ip::udp::socket mSocket;
  net::Signal mSendSignal;
  bool mHasUnsentChange = false;
  bool mHasReportedPending = false;
  std::uint64_t mSequence = 0;
  std::map<std::string, std::uint64_t> mLastSequences; ///< last number of each peer's incarnation
};

} // namespace gentianloom

#endif
