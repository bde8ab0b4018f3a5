#ifndef GENTIANLOOM_SERVING_CHAT_DELTA_H
#define GENTIANLOOM_SERVING_CHAT_DELTA_H

#include <string>
#include <string_view>

namespace gentianloom {

/// What an event of a chat completion adds to its response.
struct ChatDelta
{
  std::string mText;
  std::string mFinishReason; ///< empty: the event states none
};

/// @brief Reads the first choice of an event. What is missing or of another type, as the null that
/// engines state in their last event, adds nothing.
ChatDelta ParseChatDelta(std::string_view aData);

} // namespace gentianloom

#endif
