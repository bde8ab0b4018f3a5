#ifndef GENTIANLOOM_SERVING_ENGINE_REQUESTS_H
#define GENTIANLOOM_SERVING_ENGINE_REQUESTS_H

#include "gentianloom/external/HttpCall.h"
#include "gentianloom/serving/Exchange.h"

namespace gentianloom {

/// Names the endpoint that runs a stream; callers send it back to resume at another router.
inline constexpr const char* kResumeHeader = "Gentianloom-Resume";

/// Names the reader of an engine's stream; an engine cancels for its last reader only.
inline constexpr const char* kAttemptHeader = "Gentianloom-Attempt";

/// @brief The call that runs a chat request on an engine.
HttpRequest MakeChatRequest(const Exchange& aExchange);

/// @brief The call that reads a stream again. @param aAfter number of the last event received
HttpRequest MakeResumeRequest(const Exchange& aExchange, std::int64_t aAfter);

/// @brief The call that ends a stream. @param aAttemptId the reader that cancels
HttpRequest MakeCancelRequest(const Exchange& aExchange, const std::string& aAttemptId);

} // namespace gentianloom

#endif
