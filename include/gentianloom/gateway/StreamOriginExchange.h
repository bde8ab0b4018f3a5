#ifndef GENTIANLOOM_GATEWAY_STREAM_ORIGIN_EXCHANGE_H
#define GENTIANLOOM_GATEWAY_STREAM_ORIGIN_EXCHANGE_H

#include "gentianloom/gateway/PeerSocket.h"
#include "gentianloom/gateway/StreamOriginTable.h"
#include "gentianloom/membership/Keepers.h"
#include "gentianloom/net/Signal.h"

#include <functional>
#include <list>
#include <set>
#include <string>
#include <vector>

namespace gentianloom {

/// Message about one stream.
struct StreamOriginMessage
{
  PeerMessageKind mKind = PeerMessageKind::StreamOriginQuery;
  StreamKey mStream = 0;
  StreamOrigin mOrigin{}; ///< set with PeerMessageKind::StreamOrigin only
};

/// @brief Encodes a message as MessagePack, to be sent in one datagram.
std::string EncodeStreamOrigin(const StreamOriginMessage& aMessage);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid message
Result<StreamOriginMessage> DecodeStreamOrigin(std::string_view aBytes);

/**
 * @brief Keeps the origins of streams at several instances, by datagrams.
 *
 * An origin is sent to its keepers when the stream begins, so that it outlives the instance that
 * began the stream. An instance that does not have an origin asks the keepers.
 */
class StreamOriginExchange final : public StreamOrigins
{
public:
  /// Instances that keep an origin besides the one that began the stream.
  static constexpr std::size_t kKeepers = 8;
  /// Longest wait for the keepers' responses.
  static constexpr Millis kQueryTimeout{ 80 };

  /// @param aPeerAddresses returns the current addresses of the other instances, IP:PORT
  StreamOriginExchange(net::Loop& aLoop,
                       PeerSocket& aSocket,
                       std::function<std::vector<std::string>()> aPeerAddresses,
                       const Clock& aClock,
                       Metrics& aMetrics);

  /// @brief Starts to handle messages. Call it once.
  void Start();

  void Record(StreamKey aStream, const StreamOrigin& aOrigin) override;
  net::Task<std::optional<StreamOrigin>> Find(StreamKey aStream) override;

private:
  /// A Find() that waits for the keepers.
  struct Query
  {
    StreamKey mStream;
    net::Signal mSignal;
    std::set<PeerSocket::Address> mUnknownTo{}; ///< peers that responded without an origin
  };

  std::vector<std::string> KeepersOf(StreamKey aStream) const;
  net::Task<std::optional<StreamOrigin>> AskKeepers(StreamKey aStream);
  void SendToKeepers(const StreamOriginMessage& aMessage);
  void OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender);
  void Respond(StreamKey aStream, const PeerSocket::Address& aSender);

  net::Loop& mLoop;
  PeerSocket& mSocket;
  std::function<std::vector<std::string>()> mPeerAddresses;
  const Clock& mClock;
  Metrics& mMetrics;
  StreamOriginTable mTable;
  std::list<Query> mQueries;
};

} // namespace gentianloom

#endif
