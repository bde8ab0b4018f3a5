#ifndef GENTIANLOOM_GATEWAY_STREAM_ORIGIN_TABLE_H
#define GENTIANLOOM_GATEWAY_STREAM_ORIGIN_TABLE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/relay/StreamOrigins.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace gentianloom {

/**
 * @brief Origins of recent streams, each kept for kRetention after it was last put. No I/O.
 */
class StreamOriginTable
{
public:
  /// Longer than a caller waits for a stream, with all its retries.
  static constexpr Millis kRetention{ 60'000 };
  /// Bound of the memory; beyond it the oldest entries are dropped.
  static constexpr std::size_t kMaxEntries = 20'000;

  /// @brief Adds an origin, or keeps it for longer.
  void Put(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow);

  /// @return the origin, or nothing if it is not known or has expired
  std::optional<StreamOrigin> Find(StreamKey aStream, TimePoint aNow) const;

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    StreamOrigin mOrigin;
    TimePoint mPutAt{};
  };

  void DropOldest();

  std::map<StreamKey, Entry> mEntries;
  std::deque<std::pair<TimePoint, StreamKey>> mByAge; ///< one for each Put(), oldest first
};

} // namespace gentianloom

#endif
