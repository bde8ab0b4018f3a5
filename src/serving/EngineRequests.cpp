#include "gentianloom/serving/EngineRequests.h"

#include <Poco/URI.h>

namespace gentianloom {

namespace {

/// Returns the path of the stream of a request on its engine.
std::string StreamPath(const Exchange& aExchange)
{
  std::string id;
  Poco::URI::encode(aExchange.mRequestId, "/?#&%+ ", id);
  return "/v1/streams/" + id;
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
  return MakeRequest(aExchange, "GET", StreamPath(aExchange) + "?after=" + std::to_string(aAfter));
}

HttpRequest MakeCancelRequest(const Exchange& aExchange, const std::string& aAttemptId)
{
  auto out = MakeRequest(aExchange, "DELETE", StreamPath(aExchange));
  out.mHeaders.emplace_back(kAttemptHeader, aAttemptId);
  return out;
}

} // namespace gentianloom
