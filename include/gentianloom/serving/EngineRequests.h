#ifndef GENTIANLOOM_SERVING_ENGINE_REQUESTS_H
#define GENTIANLOOM_SERVING_ENGINE_REQUESTS_H

#include "gentianloom/external/HttpCall.h"
#include "gentianloom/serving/Exchange.h"

namespace gentianloom {

/// Response header with the endpoint that runs a stream. A caller sends it back to resume the
/// stream through another router.
inline constexpr const char* kResumeHeader = "Gentianloom-Resume";

/// Request header with the identifier of an attempt, that is, of one connection that reads an
/// engine's stream. ChatRelay adds it to the completion and resume requests. The engine cancels a
/// stream only if the cancel request names the attempt that was the last to open it.
inline constexpr const char* kAttemptHeader = "Gentianloom-Attempt";

/// @brief Makes the request that runs a chat completion on an engine, without kAttemptHeader.
HttpRequest MakeCompletionRequest(const Exchange& aExchange);

/// @brief Makes the request that resumes a stream, without kAttemptHeader.
/// @param aAfter number of the last event that was received
HttpRequest MakeResumeRequest(const Exchange& aExchange, std::int64_t aAfter);

/// @brief Makes the request that cancels a stream, with kAttemptHeader.
/// @param aAttemptId the attempt that reads the stream
HttpRequest MakeCancelRequest(const Exchange& aExchange, const std::string& aAttemptId);

} // namespace gentianloom

#endif
