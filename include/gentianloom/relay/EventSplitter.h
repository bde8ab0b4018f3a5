#ifndef GENTIANLOOM_RELAY_EVENT_SPLITTER_H
#define GENTIANLOOM_RELAY_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// A complete server-sent event.
struct ServerSentEvent
{
  std::string mBytes;              ///< as received, including the blank line at the end
  std::optional<std::int64_t> mId; ///< unset if the event has no numeric id
  bool mIsComment = false;         ///< has comments and blank lines only
};

/**
 * @brief Splits a byte stream into complete server-sent events. Performs no I/O.
 */
class EventSplitter
{
public:
  /// @brief Appends received bytes. @return the events that are complete now, in order
  std::vector<ServerSentEvent> Append(std::string_view aBytes);

  /// @brief Bytes after the last complete event.
  const std::string& Incomplete() const { return mIncomplete; }

  /// @brief Whether Incomplete() holds part of an event, and not only comments and blank lines.
  bool EndsInsideEvent() const;

private:
  std::string mIncomplete;
};

} // namespace gentianloom

#endif
