#ifndef GENTIANLOOM_NET_HTTP_STATUS_H
#define GENTIANLOOM_NET_HTTP_STATUS_H

namespace gentianloom::net {

/// Status codes of HTTP responses that this system sends or tells apart.
enum HttpStatus : int
{
  kOk = 200,
  kNoContent = 204,
  kMultipleChoices = 300,
  kNotModified = 304,
  kBadRequest = 400,
  kUnauthorized = 401,
  kPaymentRequired = 402,
  kNotFound = 404,
  kRequestTimeout = 408,
  kGone = 410,
  kPreconditionFailed = 412,
  kBodyTooLarge = 413,
  kMisdirectedRequest = 421,
  kTooManyRequests = 429,
  kHeadTooLarge = 431,
  kFirstServerError = 500,
  kBadGateway = 502,
  kUnavailable = 503,
  kGatewayTimeout = 504
};

/// @brief Whether a status is that of a success.
constexpr bool IsSuccess(int aStatus)
{
  return aStatus >= kOk && aStatus < kMultipleChoices;
}

} // namespace gentianloom::net

#endif
