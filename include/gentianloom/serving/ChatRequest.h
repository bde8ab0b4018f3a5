#ifndef GENTIANLOOM_SERVING_CHAT_REQUEST_H
#define GENTIANLOOM_SERVING_CHAT_REQUEST_H

#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Configuration.h"

#include <string>
#include <string_view>

namespace gentianloom {

/// The parts of a chat completion request that the router needs, and the body for the engine.
struct ChatRequest
{
  std::string mModel;
  bool mStream = false;
  Tokens mPromptBound = 0; ///< tokens the prompt has at most; a token has at least one byte
  Tokens mOutputBound = 0; ///< tokens the answer may have
  std::string mEngineBody; ///< always a stream, with usage and the bound
};

/// Tokens of the answer if the caller states no `max_tokens`.
inline constexpr Tokens kDefaultOutputTokens = 1024;

/// Tokens that a message's role and separators take at most.
inline constexpr Tokens kMessageOverheadTokens = 16;

/**
 * @brief Reads the body of a chat completion request.
 * @param aBody JSON as callers send it
 * @return the request, or an error that names the JSON pointer and the remedy
 * @par Complexity linear in the body
 */
Result<ChatRequest> ParseChatRequest(std::string_view aBody);

} // namespace gentianloom

#endif
