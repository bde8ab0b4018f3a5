#ifndef GENTIANLOOM_SERVING_CHAT_REQUEST_H
#define GENTIANLOOM_SERVING_CHAT_REQUEST_H

#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Configuration.h"

#include <string>
#include <string_view>

namespace gentianloom {

/// The fields of a chat completion request that the router uses, and the body for the engine.
struct ChatRequest
{
  std::string mModel;
  bool mIsStreaming = false; ///< whether the caller asked for a stream
  Tokens mPromptBound = 0;   ///< upper bound of prompt tokens; counts each byte as one token
  Tokens mOutputBound = 0;   ///< maximum number of output tokens
  std::string mEngineBody;   ///< asks for a stream with token usage; max_tokens is mOutputBound
};

/// Maximum number of output tokens if the caller sends no `max_tokens`.
inline constexpr Tokens kDefaultOutputTokens = 1024;

/// Upper bound of the tokens of one message's role and separators.
inline constexpr Tokens kMessageOverheadTokens = 16;

/**
 * @brief Parses the body of a chat completion request.
 * @param aBody JSON text of the caller
 * @return the request; ErrorCode::MalformedJson, ErrorCode::MissingKey, ErrorCode::WrongType or
 *         ErrorCode::OutOfRange, with the JSON pointer of the faulty value
 * @par Complexity linear in the body
 */
Result<ChatRequest> ParseChatRequest(std::string_view aBody);

} // namespace gentianloom

#endif
