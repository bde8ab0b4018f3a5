#ifndef GENTIANLOOM_GATEWAY_LOAD_NEWS_H
#define GENTIANLOOM_GATEWAY_LOAD_NEWS_H

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
  std::uint64_t mEndpoint = 0; ///< hash of its name
  std::int64_t mTokens = 0;
};

/// What one instance tells the others: all that it has pending, so that a lost message does no
/// harm.
struct LoadMessage
{
  std::string mIncarnation;
  std::uint64_t mNumber = 0; ///< grows with each message; older ones are passed over
  std::vector<PendingTokens> mPending;
};

/// @brief Writes a message for a datagram (MessagePack).
std::string Encode(const LoadMessage& aMessage);

/// @brief Reads a datagram. @return ErrorCode::MalformedRequest if it is no message
Result<LoadMessage> DecodeLoadMessage(std::string_view aBytes);

/// @brief Takes a message into the endpoints' load. What it does not name is no longer pending.
void Apply(const LoadMessage& aMessage, const EndpointRegistry& aEndpoints, TimePoint aNow);

/**
 * @brief Tells other instances by datagrams which prompts this one has pending where.
 *
 * Each instance sees only its own requests, and endpoints' figures come late; what makes a short
 * request late is a long prompt that another instance sent a moment ago.
 */
class LoadNews
{
public:
  /// @param aPeers addresses of the other instances
  LoadNews(net::Loop& aLoop,
           std::string aIncarnation,
           std::function<std::vector<std::string>()> aPeers,
           EndpointRegistry& aEndpoints,
           const Clock& aClock,
           Metrics& aMetrics);

  /// @brief Opens the address and starts. @return ErrorCode::BadSettings if it cannot be taken
  Result<void> Start(std::string_view aAddress);

  /// @brief Notes that something pending changed; it is told soon.
  void OnChange();

private:
  net::Task<void> RunSends();
  net::Task<void> RunReceives();
  void SendAll();

  net::Loop& mLoop;
  std::string mIncarnation;
  std::function<std::vector<std::string>()> mPeers;
  EndpointRegistry& mEndpoints;
  const Clock& mClock;
  Metrics& mMetrics;
  boost::asio::ip::udp::socket mSocket;
  net::Signal mWork;
  bool mHasChanged = false;
  bool mWasPending = false;
  std::uint64_t mNumber = 0;
  std::map<std::string, std::uint64_t> mSeen; ///< last number of each peer's incarnation
};

} // namespace gentianloom

#endif
