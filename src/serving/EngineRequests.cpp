#include "gentianloom/serving/EngineRequests.h"

#include "gentianloom/net/RequestTarget.h"

namespace gentianloom {

namespace {

/// Returns the target of the stream of a request on its engine.
net::RequestTarget StreamTarget(const Exchange& aExchange)
{
  return net::RequestTarget("/v1/streams").AddSegment(aExchange.mRequestId);
}

HttpRequest MakeRequest(const Exchange& aExchange, std::string aMethod, std::string aPath)
{
  HttpRequest out;
  out.mMethod = std::move(aMethod);
  out.mPath = std::move(aPath);
  out.mHeaders = { { "X-Request-Id", aExchange.mRequestId },
                   { "Gentianloom-Organisation", aExchange.mOrganisation } };
  return out;
}

} // namespace

HttpRequest MakeCompletionRequest(const Exchange& aExchange)
{
  auto out = MakeRequest(aExchange, "POST", "/v1/chat/completions");
  out.mBody = aExchange.mBody;
  if (!aExchange.mIdempotencyKey.empty()) {
    out.mHeaders.emplace_back("Idempotency-Key", aExchange.mIdempotencyKey);
  }
  return out;
}

HttpRequest MakeResumeRequest(const Exchange& aExchange, std::int64_t aAfter)
{
  auto target = StreamTarget(aExchange).AddParameter("after", std::to_string(aAfter));
  return MakeRequest(aExchange, "GET", target.Text());
}

HttpRequest MakeCancelRequest(const Exchange& aExchange, const std::string& aAttemptId)
{
  auto out = MakeRequest(aExchange, "DELETE", StreamTarget(aExchange).Text());
  out.mHeaders.emplace_back(kAttemptHeader, aAttemptId);
  return out;
}

} // namespace gentianloom
