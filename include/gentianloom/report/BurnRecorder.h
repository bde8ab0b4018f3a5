#ifndef GENTIANLOOM_REPORT_BURN_RECORDER_H
#define GENTIANLOOM_REPORT_BURN_RECORDER_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/configuration/Configuration.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/// A service-level objective.
enum class Objective : std::uint8_t
{
  FirstToken,    ///< time to the first token
  BetweenTokens, ///< mean time between the tokens of a stream
  InDeadline,    ///< whole answer within the caller's deadline
  WrongRefusals, ///< refused though the organisation was within its rights
  Count
};

inline constexpr std::size_t kObjectiveCount = static_cast<std::size_t>(Objective::Count);

/// Stable names of the objectives.
inline constexpr std::array<std::string_view, kObjectiveCount>
  kObjectiveNames = { "firstToken", "betweenTokens", "inDeadline", "wrongRefusals" };

/// A span of time that burn is given for.
struct BurnWindow
{
  std::string_view mName;
  Millis mLength;
};

/// The windows of the report, shortest first.
inline constexpr std::array<BurnWindow, 4> kBurnWindows = { {
  { "5m", std::chrono::minutes(5) },
  { "1h", std::chrono::hours(1) },
  { "6h", std::chrono::hours(6) },
  { "3d", std::chrono::hours(72) },
} };

/// Buckets of each window; a window forgets a bucket at a time.
inline constexpr std::size_t kBurnBuckets = 12;

/// Requests that an objective applied to, and those that missed it.
struct BurnCount
{
  std::uint64_t mAll = 0;
  std::uint64_t mBad = 0;
};

/// Counts of one organisation and service: by window, then by objective.
using BurnCounts = std::array<std::array<BurnCount, kObjectiveCount>, kBurnWindows.size()>;

/// Whose requests are counted together: organisation, then model or service.
using BurnKey = std::pair<std::string, std::string>;

/// How one request ended, as far as objectives are concerned.
struct BurnSample
{
  BurnKey mKey{};
  std::optional<Micros> mFirstToken{};    ///< none: no token came
  std::optional<Micros> mBetweenTokens{}; ///< none: fewer than two tokens came
  bool mAdmitted = false;                 ///< else it was refused
  bool mInDeadline = false;               ///< if admitted: whole answer in time
  bool mWronglyRefused = false;
};

/**
 * @brief Counts how requests kept their objectives, over several windows. Pure: no I/O, no clock.
 *
 * Memory is bounded: at most kMostKeys keys of about 3 KB each; further keys are counted together
 * under kOtherKey.
 */
class BurnRecorder
{
public:
  static constexpr std::size_t kMostKeys = 2'048;
  static inline const BurnKey kOtherKey{ "(others)", "(others)" };

  /// @brief Counts one request. @par Complexity logarithmic in the keys
  void Record(const BurnSample& aSample, const ObjectivesSpec& aObjectives, TimePoint aNow);

  /// @brief All counts of the windows that end now.
  std::map<BurnKey, BurnCounts> Counts(TimePoint aNow) const;

private:
  struct Bucket
  {
    std::int64_t mNumber = -1; ///< which span of time it counts; -1: none
    std::array<BurnCount, kObjectiveCount> mCounts{};
  };
  using Ring = std::array<Bucket, kBurnBuckets>;
  using Rings = std::array<Ring, kBurnWindows.size()>;

  std::map<BurnKey, Rings> mRings;
};

/**
 * @brief Share of requests that may miss an objective.
 * @return for example 0.05 if 95 in 100 must keep it
 */
double AllowedShare(const ObjectivesSpec& aObjectives, Objective aObjective);

/**
 * @brief How fast the error budget burns: 1 uses it up exactly at the end of its period.
 * @return 0 if nothing was counted
 */
double BurnRate(const BurnCount& aCount, double aAllowedShare);

} // namespace gentianloom

#endif
