#ifndef GENTIANLOOM_NET_CHANNEL_H
#define GENTIANLOOM_NET_CHANNEL_H

#include "gentianloom/net/CallerMemory.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/net/Traffic.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom::net {

/// State of a connection.
enum class ChannelState
{
  Connecting,
  Open,
  PeerClosed, ///< the peer shut down its sending side; received bytes can still be read
  Closed      ///< closed by this side, reset, or failed to connect
};

/// @brief Name of a state, for logs.
std::string_view ToString(ChannelState aState);

/// Reading pauses while this many bytes are unconsumed, so that TCP flow control slows the peer.
inline constexpr std::size_t kMaxReceivedBytes = 128 * 1'024;

/**
 * @brief A TCP connection that reads continuously, so that it detects a close by the peer at once.
 *
 * Received bytes are kept in a bounded buffer, bytes to send in a queue. The listener is notified
 * of received bytes, of written bytes and of changes of state, so that one coroutine can wait for
 * several connections and a timeout at once.
 */
class Channel
{
public:
  using Ptr = std::shared_ptr<Channel>;
  using Socket = boost::asio::ip::tcp::socket;
  using Address = boost::asio::ip::tcp::endpoint;

  /**
   * @brief Creates a channel from an accepted socket.
   * @param aMemory account of what the channel holds, or null; must live longer than the channel
   * @param aMaxReceivedBytes reading pauses while this many bytes are unconsumed
   */
  static Ptr Accepted(Loop& aLoop,
                      Socket aSocket,
                      CallerMemory* aMemory = nullptr,
                      std::size_t aMaxReceivedBytes = kMaxReceivedBytes);

  /// @brief Starts connecting; State() stays Connecting until the attempt succeeds or fails.
  static Ptr Connect(Loop& aLoop, const Address& aAddress);

  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// @brief Sets the signal to notify on changes, or null for none.
  void SetListener(std::shared_ptr<Signal> aListener) { mListener = std::move(aListener); }

  /// @brief Notifies that signal, also of a change outside the channel.
  void NotifyListener();

  ChannelState State() const { return mState; }
  /// @brief Time since the state became PeerClosed; zero if it never did.
  Micros TimeSincePeerClosed() const;
  bool IsUsable() const { return mState == ChannelState::Open; }

  /// @brief Bytes that were received and not yet consumed.
  std::string_view Received() const { return mReceived; }
  /// @brief Removes bytes from the front of Received().
  void Consume(std::size_t aBytes);

  /// @brief Queues bytes to send.
  void Send(std::string aBytes);

  /// @brief Number of queued bytes that were not yet written to the socket.
  std::size_t Unsent() const { return mUnsent; }

  /// @brief Number of bytes written to the socket so far.
  std::size_t Sent() const { return mSent; }

  /// @brief Returns the IP address of the peer; empty if the connection is not open.
  std::string PeerHost() const;

  /// @brief Closes the socket at once. The peer sees a reset if bytes are unread or unsent.
  void Close();

  /// @brief Closes the socket so that the peer always sees a reset.
  void Reset();

  /**
   * @brief Sends the queued bytes, shuts down sending and closes once the peer has closed, or after
   * a second. Received bytes are discarded from now on.
   *
   * Closing at once while the peer still sends would reset the connection, and the response could
   * be lost.
   */
  void CloseAfterSending();

  /// @brief Counts the channel and its bytes from now on. The counts must live longer than it.
  void CountTraffic(Traffic& aTraffic)
  {
    mTraffic = &aTraffic;
    ++mTraffic->mConnections;
  }

  /// @brief The share in the account of what callers hold; null for a channel without one.
  CallerShare* Share() const { return mShare.get(); }

private:
  Channel(Loop& aLoop, Socket aSocket, ChannelState aState, std::size_t aMaxReceivedBytes);

  void SetSocketOptions();
  // Each coroutine holds a reference to the channel from its creation on, because the owner may
  // release the channel before the coroutine first runs.
  static Task<void> RunConnect(Ptr aSelf, Address aAddress);
  static Task<void> ReadLoop(Ptr aSelf);
  static Task<void> WriteLoop(Ptr aSelf);
  /// Closes the socket a while after the last byte was sent, unless the peer closes it first.
  static Task<void> Linger(Ptr aSelf);
  /// Reads what has arrived, so that the listener learns of a close together with the bytes before
  /// it. @return the error that ended reading, if it ends the connection
  boost::system::error_code ReadAvailable();
  /// Frees the buffer of received bytes if it is large and not in use.
  void ReleaseReceived();
  /// States how much is held to the account.
  void UpdateShare();
  void OnShed(ShedReason aReason);
  void CloseSocket();

  Loop& mLoop;
  Socket mSocket;
  ChannelState mState;
  std::shared_ptr<Signal> mListener;
  Signal mReaderWake; ///< wakes ReadLoop() when received bytes were consumed
  Signal mWriterWake; ///< wakes WriteLoop() when there are bytes to send or the state changed
  std::size_t mMaxReceivedBytes;
  std::string mReceived;
  std::deque<std::string> mSendQueue;
  std::size_t mUnsent = 0;
  std::size_t mQueued = 0; ///< as mUnsent, but with the part of the first text that was written
  std::size_t mSent = 0;
  bool mCloseAfterSending = false;
  std::optional<TimePoint> mPeerClosedAt;
  std::unique_ptr<CallerShare> mShare;
  Traffic* mTraffic = nullptr; ///< null: not counted
};

} // namespace gentianloom::net

#endif
