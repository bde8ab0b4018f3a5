#ifndef GENTIANLOOM_GATEWAY_PEER_SOCKET_H
#define GENTIANLOOM_GATEWAY_PEER_SOCKET_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/gateway/LatestDatagrams.h"
#include "gentianloom/gateway/MalformedSenders.h"
#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/Task.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/// Kinds of datagrams between instances. Each is a MessagePack array; a load report begins with a
/// text, any other with its kind as a number.
enum class PeerMessageKind : std::uint8_t
{
  Load = 0,
  StreamOrigin = 1,
  StreamOriginQuery = 2,
  StreamOriginUnknown = 3,
  ReservationQuery = 4,
  ReservationAnswer = 5,
  ReservationSettlement = 6,
  ReservationSettled = 7,
  CrashReport = 8,
  CrashCleared = 9,
  EndpointEnded = 10,
  EndpointFirstEnd = 11,
  PrefixUpdate = 12,
  CrashQuery = 13,
  EndpointLimit = 14,
  PermitQuery = 15,
  PermitAnswer = 16,
  EndpointFull = 17
};

/// Number of kinds of datagrams.
inline constexpr std::size_t kPeerMessageKinds = 18;

/// @brief Returns the kind of a datagram; nothing if this version does not know it. A later version
///   may send others.
std::optional<PeerMessageKind> FindPeerMessageKind(std::string_view aBytes);

/// @brief Returns the kind of a datagram; PeerMessageKind::Load if it states none that is known.
PeerMessageKind PeerMessageKindOf(std::string_view aBytes);

/// @brief Returns the name of a kind, for log lines and metrics.
std::string_view ToString(PeerMessageKind aKind);

/**
 * @brief The UDP socket through which an instance talks to its peers.
 *
 * Datagrams can be lost and arrive out of order; whoever uses them has to make up for that.
 *
 * All that have arrived are read together. Load reports are handled after all others, and only the
 * last one of each sender: they are most of the traffic, and with little processor time the others
 * would wait behind them for seconds.
 */
class PeerSocket
{
public:
  using Address = boost::asio::ip::udp::endpoint;
  using Handler = std::function<void(std::string_view aBytes, const Address& aSender)>;

  /// Size of the receive buffer; the rest of a longer datagram is lost.
  static constexpr std::size_t kMaxDatagramBytes = 2'048;
  /// IP and UDP header of a datagram.
  static constexpr std::size_t kHeaderBytes = 28;

  PeerSocket(net::Loop& aLoop, const Clock& aClock, Metrics& aMetrics);
  ~PeerSocket() { *mIsAlive = false; }
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /// @brief Sets what is called with the datagrams of a kind.
  void SetHandler(PeerMessageKind aKind, Handler aHandler);

  /// @brief Binds the address and starts to receive. @return ErrorCode::BadSettings on failure
  Result<void> Start(std::string_view aAddress);

  /// @brief Sends a datagram. @return whether it was handed to the operating system
  bool Send(const Address& aPeer, std::string_view aBytes);
  /// @brief As above, to a peer's address IP:PORT.
  bool Send(std::string_view aPeer, std::string_view aBytes);

  /**
   * @brief Counts a datagram that cannot be decoded.
   *
   * The first one of each sender and kind is logged: a peer of another version may send thousands.
   */
  void OnMalformed(std::string_view aBytes, const Address& aSender, const std::string& aError);

  /// @brief Bytes of all datagrams sent and received so far, without their headers.
  net::BodyBytes Bytes() const { return mBytes; }

  /**
   * @brief Returns the longest time that the datagram which is being handled may have waited in
   * this process and in the socket's queue.
   *
   * What its sender states the age of is older by that time at most, and by the time on the way. It
   * is measured from the last moment at which the queue was seen empty.
   */
  Micros QueueTime() const { return mClock.Now() - mArrivedAfter; }

  /**
   * @brief Returns the longest QueueTime() with which a datagram was handled since the last call,
   *        and forgets it.
   */
  Micros TakeLongestQueueTime() { return std::exchange(mLongestQueueTime, Micros(0)); }

private:
  net::Task<void> RunReceiver();
  /// Waits for a datagram and takes it.
  net::Task<void> Receive();
  /// Takes the datagrams that have arrived, until a time has come. @return whether none is left
  bool ReceiveAvailable(TimePoint aUntil);
  /// Handles a datagram at once, or lets a load report wait.
  void Accept(std::string_view aBytes, const Address& aSender);
  /// Handles one waiting load report, and further ones until a time has come.
  void HandleLoads(TimePoint aUntil);
  void Handle(std::string_view aBytes, const Address& aSender, TimePoint aArrivedAfter);
  /// Looks at regular intervals whether the queue is empty, since an idle socket wakes nobody.
  net::Task<void> RunQueueCheck();
  void NoteIfEmpty();
  /// Gives a datagram to the handler of its kind.
  void Dispatch(std::string_view aBytes, const Address& aSender);

  net::Loop& mLoop;
  const Clock& mClock;
  Metrics& mMetrics;
  boost::asio::ip::udp::socket mSocket;
  std::array<Handler, kPeerMessageKinds> mHandlers; ///< by PeerMessageKind
  MalformedSenders mMalformedSenders;
  net::BodyBytes mBytes;
  std::array<char, kMaxDatagramBytes> mBuffer{}; ///< of the datagram that is being received
  LatestDatagrams mWaitingLoads;
  TimePoint mEmptyAt{};      ///< when the socket's queue was last seen empty
  TimePoint mArrivedAfter{}; ///< earliest arrival of the datagram that is being handled
  Micros mLongestQueueTime{ 0 };
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true); ///< for the coroutines
};

} // namespace gentianloom

#endif
