#ifndef GENTIANLOOM_RELAY_REQUEST_CODEC_H
#define GENTIANLOOM_RELAY_REQUEST_CODEC_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Configuration.h"
#include "gentianloom/net/HttpHead.h"
#include "gentianloom/routing/EndpointLoad.h"

#include <optional>
#include <string>
#include <vector>

namespace gentianloom {

/// Largest number of tokens that a request may state for its prompt, for one part of it or for its
/// output. No model processes as many, and sums of thousands of such counts still fit into Tokens.
inline constexpr Tokens kMaxTokenCount = Tokens{ 1 } << 40;

/// A caller's request, independent of the wire format.
struct CallerRequest
{
  std::string mId; ///< unique per attempt of the caller: a caller's retry has a new id
  std::string mHost;
  std::string mPath;                        ///< without the query string
  std::string mApiKey;                      ///< identifies the organisation; empty if none was sent
  std::optional<Millis> mTimeout;           ///< how long the caller waits, from receipt on
  std::optional<Tokens> mPromptTokens;      ///< set for requests to a model
  std::optional<Tokens> mMaxOutputTokens;   ///< set for requests to a model
  std::vector<PromptPart> mPromptParts;     ///< in the order of the prompt
  std::optional<std::int64_t> mResumeAfter; ///< last event received of an interrupted stream
  std::string mResumedRequest; ///< id of the request that brought the first event of the
                               ///< interrupted stream; empty if none was sent

  /// @brief Returns the tokens that the request uses at most, or nothing if a count is not between
  /// 0 and kMaxTokenCount. A request without counts uses none.
  std::optional<Tokens> MaxTokens() const
  {
    const auto isValid = [](Tokens it) { return it >= 0 && it <= kMaxTokenCount; };
    const auto prompt = mPromptTokens.value_or(0);
    const auto output = mMaxOutputTokens.value_or(0);
    return isValid(prompt) && isValid(output) ? std::optional(prompt + output) : std::nullopt;
  }
};

/// Metadata that the router adds to a forwarded request.
struct ForwardingInfo
{
  std::string mEndpoint;     ///< id of the only endpoint that may run the request
  Millis mTimeLeft{ 0 };     ///< time after which the endpoint stops working on the request
  std::string mOrganisation; ///< empty for an anonymous request
  std::optional<std::int64_t> mResumeAfter; ///< last event that the caller has received
};

/// Which request a response states that it belongs to.
enum class ResponseRequestId
{
  Missing, ///< it states no id
  Same,    ///< that of the request that was sent
  Other    ///< that of another request, for example of an earlier one
};

/// Metadata from the head of an endpoint's response.
struct EndpointResponse
{
  ResponseRequestId mRequestId = ResponseRequestId::Missing;
  bool mHasSignature = false;        ///< has the endpoint's signature
  bool mDidNotRun = false;           ///< the endpoint states that it did not run the request
  bool mIsMisdirected = false;       ///< the address now belongs to another endpoint
  bool mIsLeaving = false;           ///< the endpoint states that it is leaving
  std::optional<Millis> mRetryAfter; ///< of a refusal: time for which the endpoint wants nothing
  bool mIsRetryAfterInvalid = false; ///< a refusal states no such time in its place
  std::optional<double> mRateLimit;  ///< requests a second that the endpoint takes of all instances
  bool mIsRateLimitInvalid = false;  ///< it states something else in its place
  std::optional<Millis> mWarmUpRemaining; ///< of the endpoint; 0: it has warmed up
  bool mIsWarmUpInvalid = false;          ///< it states something else in its place
  bool mIsBrittle = false; ///< the endpoint states that too many refusals in a second end it
  std::optional<ReportedLoad> mLoad;
  bool mIsDeclined = false;           ///< by another instance, see RequestCodec::AddDeclined()
  std::string mPeerEndpoint;          ///< endpoint of another instance's response; empty if none
  std::optional<Millis> mIdleTimeout; ///< after which the endpoint closes an idle connection
};

/**
 * @brief Translates requests and responses between a wire format and the relay.
 */
class RequestCodec
{
public:
  virtual ~RequestCodec() = default;

  /// @brief Decodes a caller's request. @return ErrorCode::MalformedRequest if a header is invalid
  virtual Result<CallerRequest> Decode(const net::RequestHead& aHead) const = 0;

  /**
   * @brief Builds the request head that is sent to an endpoint.
   *
   * Headers that only a router may set are taken from aInfo; values of the caller are discarded.
   */
  virtual net::RequestHead Encode(const net::RequestHead& aHead,
                                  const ForwardingInfo& aInfo) const = 0;

  /// @brief Builds the request head that is sent to another instance, which decodes it like a
  /// caller's.
  /// @param aTimeLeft how long the caller still waits
  virtual net::RequestHead EncodeForPeer(const net::RequestHead& aHead, Millis aTimeLeft) const = 0;

  /// @brief Adds to a response for another instance that this one did not run the request, which
  /// another one may be able to.
  virtual void AddDeclined(net::ResponseHead& aHead) const = 0;

  /// @brief Adds to a response for another instance which endpoint gave it.
  virtual void AddEndpoint(net::ResponseHead& aHead, std::string_view aEndpoint) const = 0;

  /// @brief Removes from another instance's response what AddDeclined() and AddEndpoint() added.
  virtual void RemovePeerHeaders(net::ResponseHead& aHead) const = 0;

  /// @brief Decodes the head of an endpoint's response to aRequest.
  virtual EndpointResponse DecodeResponse(const net::ResponseHead& aHead,
                                          const CallerRequest& aRequest) const = 0;

  /// @brief Adds the request id to a response that the router itself generates.
  virtual void AddRequestId(net::ResponseHead& aHead, const CallerRequest& aRequest) const = 0;
};

} // namespace gentianloom

#endif
