#ifndef GENTIANLOOM_GATEWAY_ENDPOINT_END_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_ENDPOINT_END_EXCHANGE_H

#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/net/Signal.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Message about the end of the process at an endpoint's address.
struct EndpointEndMessage
{
  PeerMessageKind mKind = PeerMessageKind::EndpointEnded; ///< or EndpointFirstEnd, the response
  std::uint64_t mId = 0;                                  ///< of the query
  std::string mAddress;                                   ///< of a query
  Micros mEndedAgo{ 0 };                                  ///< that the sender knows of
};

/// @brief Encodes a message as MessagePack, to be sent in one datagram.
std::string EncodeEndpointEnd(const EndpointEndMessage& aMessage);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid message
Result<EndpointEndMessage> DecodeEndpointEnd(std::string_view aBytes);

/**
 * @brief Finds out when the process at an endpoint's address ended, as any instance saw it first.
 *
 * The address of an ended process may go on accepting connections and close them. Requests that an
 * instance sends there before it notices are interrupted without being the cause. The keepers of
 * the address remember the first interruption that any instance reported.
 */
class EndpointEndExchange
{
public:
  /// Instances that collect the reports on one address.
  static constexpr std::size_t kKeepers = 3;
  /// Longest wait for the keepers' responses.
  static constexpr Millis kQueryTimeout{ 60 };
  /// How long an end is remembered.
  static constexpr Millis kMemory{ 5'000 };
  /// Most addresses that are remembered.
  static constexpr std::size_t kMaxAddresses = 4'096;

  /**
   * @param aSelf address of this instance, the same that its peers know
   * @param aPeers returns the addresses of the other instances
   */
  EndpointEndExchange(net::Loop& aLoop,
                      PeerSocket& aSocket,
                      std::string aSelf,
                      std::function<std::vector<std::string>()> aPeers,
                      const Clock& aClock,
                      Metrics& aMetrics);

  /// @brief Starts to handle messages. Call it once.
  void Start();

  /**
   * @brief Reports an end and returns when the process ended by the first report.
   *
   * Takes kQueryTimeout at most; without a response, only this instance's own reports count.
   * @param aEndedAt when a request was interrupted there
   */
  net::Task<TimePoint> FindFirstEnd(std::string aAddress, TimePoint aEndedAt);

  /// @brief Forgets the end of the process that ran at an address before.
  void OnNewProcess(const std::string& aAddress) { mEnds.erase(aAddress); }

private:
  /// A FindFirstEnd() that waits for the keepers.
  struct Query
  {
    std::size_t mResponses = 0;
    TimePoint mFirstEnd{};
    net::Signal* mSignal = nullptr;
  };

  /// Notes an end. @return the first one that is known of this process
  TimePoint Note(const std::string& aAddress, TimePoint aEndedAt);
  void OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender);

  net::Loop& mLoop;
  PeerSocket& mSocket;
  std::string mSelf;
  std::function<std::vector<std::string>()> mPeers;
  const Clock& mClock;
  Metrics& mMetrics;
  std::map<std::string, TimePoint> mEnds; ///< first end by address
  std::map<std::uint64_t, Query> mQueries;
  std::uint64_t mNextId = 1;
};

} // namespace gentianloom

#endif
