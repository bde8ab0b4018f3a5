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

/// @brief HTTP status that goes with an error code.
int ToHttpStatus(ErrorCode aCode);

/// @brief Error body as callers and operators get it: code, step, peer, text, when to come back.
Json ErrorToJson(const Error& aError, Outcome aOutcome);

/// @brief Sends a JSON answer whole.
void SendJson(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json& aBody);

/// @brief Sends an error as a final answer, with `Gentianloom-Outcome` and `Retry-After`.
void SendError(Poco::Net::HTTPServerResponse& aResponse, const Error& aError, Outcome aOutcome);

/**
 * @brief Reads a request body up to a limit.
 * @return the body, or ErrorCode::BodyTooLarge or ErrorCode::MalformedRequest
 */
Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& aRequest, std::int64_t aMaxBytes);

/// @brief The bearer key of a request, empty if there is none.
std::string ReadBearerKey(const Poco::Net::HTTPServerRequest& aRequest);

/// @brief Tells whether the client closed its connection.
bool IsClientDisconnected(Poco::Net::HTTPServerRequest& aRequest);

} // namespace gentianloom

#endif
