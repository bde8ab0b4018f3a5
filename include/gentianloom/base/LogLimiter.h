#ifndef GENTIANLOOM_BASE_LOG_LIMITER_H
#define GENTIANLOOM_BASE_LOG_LIMITER_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <optional>

namespace gentianloom {

/**
 * @brief Limits a kind of log line to one a second, so that callers cannot fill the log.
 */
class LogLimiter
{
public:
  /// @brief Counts one event.
  /// @return how many events there were since the last line if one may be written now
  std::optional<std::uint64_t> Add(TimePoint aNow)
  {
    ++mEvents;
    if (mLastLineAt && aNow - *mLastLineAt < kInterval) {
      return std::nullopt;
    }
    mLastLineAt = aNow;
    const auto out = mEvents;
    mEvents = 0;
    return out;
  }

private:
  static constexpr Millis kInterval{ 1'000 };

  std::uint64_t mEvents = 0; ///< since the last line
  std::optional<TimePoint> mLastLineAt;
};

} // namespace gentianloom

#endif
