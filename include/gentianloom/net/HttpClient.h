#ifndef GENTIANLOOM_NET_HTTP_CLIENT_H
#define GENTIANLOOM_NET_HTTP_CLIENT_H

#include "gentianloom/base/Error.h"
#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpHead.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianloom::net {

/// A request with a complete body.
struct HttpCall
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::string mBody{}; ///< must be empty unless the method is POST
};

/// A complete response.
struct HttpReply
{
  int mStatus = 0;
  std::string mBody;
  HeaderList mHeaders;
};

/// Bytes of message bodies sent and received since the start of a client.
struct BodyBytes
{
  std::uint64_t mSent = 0;
  std::uint64_t mReceived = 0;
};

/// Why a call returned no response.
enum class HttpFailure
{
  NotSent, ///< the connection was not established, so nothing was sent
  Lost     ///< the request may have reached the server, but no complete response arrived
};

/**
 * @brief Calls one HTTP server and reuses its keep-alive connections.
 *
 * Requests and responses are held in memory as a whole, up to a limit for one response and one for
 * all that are being received. A connection on which a call failed is closed and never reused, nor
 * is one that was idle for longer than kMaxIdle: the network may have forgotten it without a sign.
 */
class HttpClient
{
public:
  /// Longest idle time of a connection that is reused. It is well below the 2 s in which what the
  /// server acknowledged has to be known, since a call on a silent connection only ends by its
  /// timeout.
  static constexpr Millis kMaxIdle{ 1'000 };

  HttpClient(Loop& aLoop, Channel::Address aServer, std::string aHostHeader);
  ~HttpClient();

  /**
   * @brief Sends a request and waits for its response.
   * @param aTimeout for connecting, sending and receiving together
   * @return the response with any status, or why there is none
   */
  Task<boost::outcome_v2::checked<HttpReply, HttpFailure>> Call(HttpCall aCall, Millis aTimeout);

  /// @brief Bytes of all bodies so far, including those of calls that failed.
  const BodyBytes& Bytes() const { return mBytes; }

private:
  class ReplyBuffer;

  struct IdleConnection
  {
    Channel::Ptr mChannel;
    TimePoint mIdleSince{};
  };

  Channel::Ptr TakeIdle();
  void CloseIdle();

  Loop& mLoop;
  Channel::Address mServer;
  std::string mHostHeader;
  std::vector<IdleConnection> mIdle;
  BodyBytes mBytes;
  std::size_t mBufferedBytes = 0; ///< of all responses that are being received
};

/**
 * @brief Parses an address written as `IP:PORT`.
 * @return the address, or ErrorCode::BadSettings with the text as its subject
 */
Result<Channel::Address> ParseSocketAddress(std::string_view aText);

} // namespace gentianloom::net

#endif
