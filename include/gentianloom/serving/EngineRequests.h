#ifndef GENTIANLOOM_SERVING_ENGINE_REQUESTS_H
#define GENTIANLOOM_SERVING_ENGINE_REQUESTS_H

#include "gentianloom/external/HttpCall.h"
#include "gentianloom/serving/Exchange.h"

namespace gentianloom {

/// Response header with the endpoint that runs a stream. A caller sends it back to resume the
/// stream through another router.
inline constexpr const char* kResumeHeader = "Gentianloom-Resume";

/// Request header that identifies a reader of an engine's stream. The engine cancels a stream only
/// if its last reader asks for it.
inline constexpr const char* kAttemptHeader = "Gentianloom-Attempt";

/// @brief Makes the request that runs a chat completion on an engine.
HttpRequest MakeChatRequest(const Exchange& aExchange);

/// @brief Makes the request that resumes a stream.
/// @param aAfter number of the last event that was received
HttpRequest MakeResumeRequest(const Exchange& aExchange, std::int64_t aAfter);

/// @brief Makes the request that cancels a stream. @param aAttemptId the reader that cancels it
HttpRequest MakeCancelRequest(const Exchange& aExchange, const std::string& aAttemptId);

} // namespace gentianloom

#endif
