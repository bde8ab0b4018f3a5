#ifndef GENTIANLOOM_SERVING_HTTP_MESSAGES_H
#define GENTIANLOOM_SERVING_HTTP_MESSAGES_H

#include "gentianloom/base/Error.h"
#include "gentianloom/base/JsonReader.h"
#include "gentianloom/serving/Exchange.h"

#include <string>
#include <string_view>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace gentianloom {

/// @brief Returns the HTTP status for an error code.
int ToHttpStatus(ErrorCode aCode);

/// @brief Makes the body of an error response: the error (code, number, step, peer, message and, if
/// set, retry delay) and the outcome of the request.
Json ErrorToJson(const Error& aError, Outcome aOutcome);

/// @brief Sends a complete JSON response.
void SendJson(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json& aBody);

/// @brief Sends an error as the final response, with `Gentianloom-Outcome` and `Retry-After`.
void SendError(Poco::Net::HTTPServerResponse& aResponse, const Error& aError, Outcome aOutcome);

/**
 * @brief Reads a request body up to a limit.
 * @return the body; ErrorCode::BodyTooLarge; ErrorCode::MalformedRequest if the body is shorter
 * than its `Content-Length`
 */
Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& aRequest, std::int64_t aMaxBytes);

/// @brief Returns the bearer key of a request; empty if there is none.
std::string ReadBearerKey(const Poco::Net::HTTPServerRequest& aRequest);

/// @brief Whether the client closed its connection. Does not block.
bool IsClientDisconnected(Poco::Net::HTTPServerRequest& aRequest);

} // namespace gentianloom

#endif
