#include "gentianloom/serving/HttpMessages.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <istream>

namespace gentianloom {

int ToHttpStatus(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BodyTooLarge:
      return 413;
    case ErrorCode::NotAuthenticated:
      return 401;
    case ErrorCode::NotAllowed:
      return 403;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownOrganisation:
    case ErrorCode::UnknownPath:
      return 404;
    case ErrorCode::BudgetExhausted:
      return 402;
    case ErrorCode::BudgetBusy:
    case ErrorCode::Overloaded:
    case ErrorCode::NoEndpoint:
    case ErrorCode::Leaving:
    case ErrorCode::PlatformUnavailable:
    case ErrorCode::PlatformAnswerLost:
    case ErrorCode::StaleAnswer:
    case ErrorCode::PeerUnavailable:
      return 503;
    case ErrorCode::DeadlineExceeded:
      return 504;
    case ErrorCode::EndpointFailed:
    case ErrorCode::AnswerIncomplete:
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::AnswerNotKept:
      return 502;
    case ErrorCode::IdempotencyKeyConflict:
    case ErrorCode::RequestCrashesEndpoints:
      return 422;
    case ErrorCode::Conflict:
    case ErrorCode::AlreadyRunning:
      return 409;
    case ErrorCode::Internal:
    case ErrorCode::BadSettings:
      return 500;
    default:
      return 400;
  }
}

Json ErrorToJson(const Error& aError, Outcome aOutcome)
{
  Json error = { { "code", ToString(aError.mCode) },
                 { "number", static_cast<unsigned>(aError.mCode) },
                 { "step", ToString(aError.mStep) },
                 { "peer", aError.mPeer.empty() ? "self" : aError.mPeer },
                 { "message", aError.mText } };
  if (aError.mRetryAfter) {
    error["retry_after_ms"] = aError.mRetryAfter->count();
  }
  return { { "error", error }, { "gentianloom", { { "outcome", ToString(aOutcome) } } } };
}

void SendJson(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json& aBody)
{
  const auto text = aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
  aResponse.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
  aResponse.setReason(Poco::Net::HTTPResponse::getReasonForStatus(aResponse.getStatus()));
  aResponse.setContentType("application/json");
  aResponse.setContentLength(static_cast<std::streamsize>(text.size()));
  aResponse.send() << text << std::flush;
}

void SendError(Poco::Net::HTTPServerResponse& aResponse, const Error& aError, Outcome aOutcome)
{
  aResponse.set("Gentianloom-Outcome", std::string(ToString(aOutcome)));
  if (aError.mRetryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aError.mRetryAfter);
    aResponse.set("Retry-After", std::to_string(seconds.count()));
  }
  SendJson(aResponse, ToHttpStatus(aError.mCode), ErrorToJson(aError, aOutcome));
}

Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& aRequest, std::int64_t aMaxBytes)
{
  constexpr std::size_t kBlockBytes = 16 * 1024;
  const auto makeTooLargeError = [aMaxBytes] {
    return MakeError(ErrorCode::BodyTooLarge,
                     Step::RequestAccept,
                     "caller",
                     "the body is larger than " + std::to_string(aMaxBytes) +
                       " bytes; send a smaller one");
  };
  std::string out;
  std::array<char, kBlockBytes> buf{};
  auto& in = aRequest.stream();
  std::int64_t n = 0;
  // Reads up to twice the limit: closing a connection with unread bytes resets it, and the caller
  // would not receive the error response.
  while (n <= 2 * aMaxBytes && (in.read(buf.data(), buf.size()) || in.gcount() > 0)) {
    n += in.gcount();
    if (n <= aMaxBytes) {
      out.append(buf.data(), static_cast<std::size_t>(in.gcount()));
    }
  }
  if (n > aMaxBytes) {
    return makeTooLargeError();
  }
  if (aRequest.hasContentLength() &&
      aRequest.getContentLength64() != static_cast<Poco::Int64>(out.size())) {
    return MakeError(ErrorCode::MalformedRequest,
                     Step::RequestAccept,
                     "caller",
                     "the body is shorter than its Content-Length; send all of it");
  }
  return out;
}

std::string ReadBearerKey(const Poco::Net::HTTPServerRequest& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const auto text = aRequest.get("Authorization", "");
  return text.starts_with(kScheme) ? text.substr(kScheme.size()) : std::string();
}

bool IsClientDisconnected(Poco::Net::HTTPServerRequest& aRequest)
{
  auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&aRequest);
  if (request == nullptr) {
    return false;
  }
  try {
    auto& socket = request->socket();
    return socket.poll(Poco::Timespan(0, 0), Poco::Net::Socket::SELECT_READ) &&
           socket.available() == 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

} // namespace gentianloom
