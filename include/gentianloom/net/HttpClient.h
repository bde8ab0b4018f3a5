#ifndef GENTIANLOOM_NET_HTTP_CLIENT_H
#define GENTIANLOOM_NET_HTTP_CLIENT_H

#include "gentianloom/base/Error.h"
#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpHead.h"

#include <string>
#include <vector>

namespace gentianloom::net {

/// A call with a whole body.
struct HttpCall
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::string mBody{}; ///< sent with POST only
};

/// A whole answer.
struct HttpReply
{
  int mStatus = 0;
  std::string mBody;
};

/// Why a call has no answer.
enum class HttpFailure
{
  NotSent, ///< no byte left this process
  Lost     ///< it may have arrived; the answer did not
};

/**
 * @brief Makes calls with whole bodies to one server, on kept connections.
 *
 * A connection on which a call failed is closed and never used again.
 */
class HttpClient
{
public:
  HttpClient(Loop& aLoop, Channel::Address aServer, std::string aHostHeader);
  ~HttpClient();

  /// @brief Makes a call. @param aTimeout for the whole of it
  Task<boost::outcome_v2::checked<HttpReply, HttpFailure>> Call(HttpCall aCall, Millis aTimeout);

private:
  Channel::Ptr TakeIdle();
  void CloseIdle();

  Loop& mLoop;
  Channel::Address mServer;
  std::string mHostHeader;
  std::vector<Channel::Ptr> mIdle;
};

/// @brief Reads `IP:PORT`. @return the address, or ErrorCode::BadSettings that names the text
Result<Channel::Address> ParseSocketAddress(std::string_view aText);

} // namespace gentianloom::net

#endif
