#ifndef GENTIANLOOM_EXTERNAL_HTTP_CALL_H
#define GENTIANLOOM_EXTERNAL_HTTP_CALL_H

#include "gentianloom/base/Address.h"
#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianloom {

/// One HTTP call with a whole answer.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::string mBody{};
  std::string mContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> mHeaders{};
};

/// A whole HTTP answer.
struct HttpResponse
{
  int mStatus = 0;
  std::string mBody{};
  std::string mContentType{};
  bool mIsComplete = false; ///< whether a length or an end marker proves that nothing is missing
};

/// How far a call that failed had come; decides whether it may have taken effect.
enum class CallProgress
{
  NotSent, ///< no byte of the request left this process
  Sent     ///< some or all of the request was sent
};

/// Failure of a call.
struct CallFailure
{
  CallProgress mProgress = CallProgress::NotSent;
  Error mError{};
};

/// Time limits of a connection.
struct SocketTimeouts
{
  Millis mConnect{ 0 };
  Millis mSend{ 0 };
  Millis mReceive{ 0 }; ///< for each read
};

/**
 * @brief Connects and sets the limits on the socket itself.
 *
 * A client session sets its limits only on connections that it makes, not on one that it is given.
 *
 * @throws Poco::Exception if the peer cannot be reached in time
 */
Poco::Net::StreamSocket Connect(const std::string& aHost,
                                std::uint16_t aPort,
                                const SocketTimeouts& aTimeouts);

/**
 * @brief Makes one HTTP call on a connection of its own and reads the whole answer.
 * @param aAddress peer as `host:port`
 * @param aTimeout for each of connect, send and receive
 * @param aStep step that errors carry
 * @return the answer whatever its status, or how far the call had come
 */
boost::outcome_v2::checked<HttpResponse, CallFailure> CallHttp(std::string_view aAddress,
                                                               const HttpRequest& aRequest,
                                                               Millis aTimeout,
                                                               Step aStep);

} // namespace gentianloom

#endif
