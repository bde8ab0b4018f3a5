#ifndef GENTIANLOOM_RELAY_REQUEST_CODEC_H
#define GENTIANLOOM_RELAY_REQUEST_CODEC_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Model.h"
#include "gentianloom/net/HttpHead.h"
#include "gentianloom/routing/EndpointLoad.h"

#include <optional>
#include <string>
#include <vector>

namespace gentianloom {

/// A caller's request, without the names of any wire format.
struct CallerRequest
{
  std::string mId; ///< of this try of the caller; a caller's retry has another one
  std::string mHost;
  std::string mPath;                        ///< without its query
  std::string mKey;                         ///< secret that names the organisation; empty: none
  std::optional<Millis> mPatience;          ///< how long the caller waits from now on
  std::optional<Tokens> mPromptTokens;      ///< of a request to a model
  std::optional<Tokens> mMostOutputTokens;  ///< of a request to a model
  std::vector<PromptPart> mParts;           ///< of the prompt, in order
  std::optional<std::int64_t> mResumeAfter; ///< last event that the caller has of a broken stream
};

/// What a router adds to a request that it passes on.
struct ForwardFacts
{
  std::string mEndpoint;     ///< the only one that may run it
  Millis mTimeLeft{ 0 };     ///< after which the endpoint stops
  std::string mOrganisation; ///< empty: anonymous
  std::optional<std::int64_t> mResumeAfter;
};

/// What the head of an endpoint's answer says.
struct EndpointAnswer
{
  bool mIsForRequest = false; ///< it answers the request that was sent, not an earlier one
  bool mHasSignature = false; ///< carries the endpoint's signature
  bool mDidNotRun = false;    ///< states that the endpoint did not run the request
  bool mIsOther = false;      ///< another endpoint has the address now
  std::optional<ReportedLoad> mLoad;
  std::optional<Millis> mIdleTime; ///< how long the endpoint keeps the connection when idle
};

/**
 * @brief Translates requests and answers between a wire format and the relay.
 */
class RequestCodec
{
public:
  virtual ~RequestCodec() = default;

  /// @brief Reads a caller's request. @return ErrorCode::MalformedRequest if a header is unreadable
  virtual Result<CallerRequest> Decode(const net::RequestHead& aHead) const = 0;

  /// @brief Makes the head that an endpoint gets; nothing that a router sets comes from the caller.
  virtual net::RequestHead Encode(const net::RequestHead& aHead,
                                  const ForwardFacts& aFacts) const = 0;

  /// @brief Reads the head of an endpoint's answer.
  virtual EndpointAnswer DecodeAnswer(const net::ResponseHead& aHead,
                                      const CallerRequest& aRequest) const = 0;

  /// @brief Adds what names the request to an answer of the router's own.
  virtual void MarkOwnAnswer(net::ResponseHead& aHead, const CallerRequest& aRequest) const = 0;
};

} // namespace gentianloom

#endif
