#ifndef GENTIANLOOM_NET_HTTP_STATUS_H
#define GENTIANLOOM_NET_HTTP_STATUS_H

namespace gentianloom::net {

// Status codes of HTTP responses that this system sends or tells apart.
inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kMultipleChoices = 300;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kPaymentRequired = 402;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kBodyTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadTooLarge = 431;
inline constexpr int kFirstServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

inline constexpr int kFirstStatus = 100;
inline constexpr int kEndOfStatuses = 600;

/// @brief Whether a number is a status code of HTTP; a server in trouble may send others.
constexpr bool IsStatus(int aNumber)
{
  return aNumber >= kFirstStatus && aNumber < kEndOfStatuses;
}

/// @brief Whether a status is that of an interim response, which a final one follows.
constexpr bool IsInterim(int aStatus)
{
  return aStatus >= kFirstStatus && aStatus < kOk;
}

/// @brief Whether a status is that of a success.
constexpr bool IsSuccess(int aStatus)
{
  return aStatus >= kOk && aStatus < kMultipleChoices;
}

} // namespace gentianloom::net

#endif
