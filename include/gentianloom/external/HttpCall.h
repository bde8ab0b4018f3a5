#ifndef GENTIANLOOM_EXTERNAL_HTTP_CALL_H
#define GENTIANLOOM_EXTERNAL_HTTP_CALL_H

#include "gentianloom/base/Address.h"
#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/external/BoundedSocket.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianloom {

/// HTTP request with its complete body.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::string mBody{};
  std::string mContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> mHeaders{};
};

/// HTTP response with its complete body.
struct HttpResponse
{
  int mStatus = 0;
  std::string mBody{};
  std::string mContentType{};
  bool mIsComplete = false; ///< a content length or the last chunk shows that nothing is missing
};

/// Whether a failed request may have been executed by the server.
enum class CallProgress
{
  NotSent, ///< no byte of the request was sent
  Sent     ///< a part or all of the request may have been sent
};

/// Failure of an HTTP request.
struct CallFailure
{
  CallProgress mProgress = CallProgress::NotSent;
  Error mError{};
};

/// Timeouts of a connection.
struct SocketTimeouts
{
  Millis mConnect{ 0 };
  Millis mSend{ 0 };
  Millis mReceive{ 0 }; ///< of each read
};

/**
 * @brief Opens a connection and sets the timeouts on the socket itself.
 *
 * Poco::Net::HTTPClientSession applies its timeouts only to connections that it opens, not to a
 * socket that is passed to it.
 *
 * @param aLimits of all that is received on the connection
 * @throws Poco::Exception if the connection cannot be opened within the timeout
 */
Poco::Net::StreamSocket Connect(const std::string& aHost,
                                std::uint16_t aPort,
                                const SocketTimeouts& aTimeouts,
                                const ReceiveLimits& aLimits);

/// Largest response that CallHttp() reads, in bytes.
inline constexpr std::size_t kMaxCallResponseBytes = 16 * 1'024 * 1'024;

/**
 * @brief Sends one HTTP request on a new connection and reads the complete response.
 *
 * A response of more than kMaxCallResponseBytes, or that is not complete after the longest
 * duration, fails.
 *
 * @param aAddress server as `host:port`
 * @param aTimeout for each of connect, send and receive
 * @param aStep step to set in errors
 * @param aMaxDuration of the whole call; if unset, three times the timeout
 * @return the response with any status, or a CallFailure with ErrorCode::PlatformUnavailable,
 *         ErrorCode::AnswerIncomplete if the body ended early, or ErrorCode::BadSettings if the
 * address is malformed
 */
boost::outcome_v2::checked<HttpResponse, CallFailure> CallHttp(
  std::string_view aAddress,
  const HttpRequest& aRequest,
  Millis aTimeout,
  Step aStep,
  std::optional<Millis> aMaxDuration = std::nullopt);

} // namespace gentianloom

#endif
