#ifndef GENTIANLOOM_RELAY_EVENT_SPLITTER_H
#define GENTIANLOOM_RELAY_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// One whole server-sent event, as its bytes came.
struct ServerSentEvent
{
  std::string mBytes;
  std::optional<std::int64_t> mId; ///< unset: it states none
};

/**
 * @brief Cuts a stream of bytes into whole server-sent events. Pure.
 */
class EventSplitter
{
public:
  /// @brief Takes bytes. @return the events that they complete
  std::vector<ServerSentEvent> Put(std::string_view aBytes);

  /// @brief Bytes of an event that is not complete.
  const std::string& Rest() const { return mRest; }

private:
  std::string mRest;
};

} // namespace gentianloom

#endif
