#ifndef GENTIANLOOM_NET_CHANNEL_H
#define GENTIANLOOM_NET_CHANNEL_H

#include "gentianloom/net/Signal.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace gentianloom::net {

/// State of one direction or the whole of a connection.
enum class ChannelState
{
  Connecting,
  Open,
  PeerClosed, ///< the peer closed its side in order; what was received may still be read
  Closed      ///< reset, failed to connect, or closed here
};

/**
 * @brief A TCP connection that always reads, so that the peer's close is seen at any moment.
 *
 * Received bytes wait in a bounded buffer; bytes to send wait in a queue. Each change notifies the
 * listener, so that one coroutine can wait for several connections and a timeout at once.
 */
class Channel
{
public:
  using Ptr = std::shared_ptr<Channel>;
  using Socket = boost::asio::ip::tcp::socket;
  using Address = boost::asio::ip::tcp::endpoint;

  /// @brief Takes over an accepted connection.
  static Ptr Accepted(Loop& aLoop, Socket aSocket);

  /// @brief Starts to connect; the state tells when that is done.
  static Ptr Connect(Loop& aLoop, const Address& aAddress);

  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// @brief Sets who is notified; null: nobody.
  void SetListener(std::shared_ptr<Signal> aListener) { mListener = std::move(aListener); }

  ChannelState State() const { return mState; }
  bool IsUsable() const { return mState == ChannelState::Open; }

  /// @brief Bytes received and not consumed.
  std::string_view Received() const { return mReceived; }
  void Consume(std::size_t aBytes);

  /// @brief Queues bytes to send.
  void Send(std::string aBytes);

  /// @brief Bytes queued and not handed to the operating system.
  std::size_t Unsent() const { return mUnsent; }

  /// @brief Bytes handed to the operating system so far.
  std::size_t Sent() const { return mSent; }

  /// @brief Closes at once; with unread or unsent bytes the peer sees a reset.
  void Close();

  /// @brief Closes so that the peer sees a reset, whatever is pending.
  void Reset();

  /// @brief Sends what is queued, then ends the sending side and closes after the peer did.
  void CloseAfterSending();

private:
  Channel(Loop& aLoop, Socket aSocket, ChannelState aState);

  void Prepare();
  // The tasks own the channel from the moment they are made: its user may drop it before they run.
  static Task<void> RunConnect(Ptr aSelf, Address aAddress);
  static Task<void> RunReads(Ptr aSelf);
  static Task<void> RunWrites(Ptr aSelf);
  void Notify();
  void Break();

  Loop& mLoop;
  Socket mSocket;
  ChannelState mState;
  std::shared_ptr<Signal> mListener;
  Signal mRoom; ///< notified when received bytes were consumed
  Signal mWork; ///< notified when there are bytes to send
  std::string mReceived;
  std::deque<std::string> mQueue;
  std::size_t mUnsent = 0;
  std::size_t mSent = 0;
  bool mCloseAfterSending = false;
};

} // namespace gentianloom::net

#endif
