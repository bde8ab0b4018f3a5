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
  InDeadline,    ///< whole response within the caller's deadline
  WrongRefusals, ///< refused although the organisation was entitled to service
  Count
};

inline constexpr std::size_t kObjectiveCount = static_cast<std::size_t>(Objective::Count);

/// Stable names of the objectives, as used in JSON.
inline constexpr std::array<std::string_view, kObjectiveCount>
  kObjectiveNames = { "firstToken", "betweenTokens", "inDeadline", "wrongRefusals" };

/// A time window over which burn rates are computed.
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

/// Number of buckets of each window; counts expire one bucket at a time.
inline constexpr std::size_t kBurnBuckets = 12;

/// Number of requests that an objective applied to, and of those that missed it.
struct BurnCount
{
  std::uint64_t mRequests = 0;
  std::uint64_t mMissed = 0;
};

/// Counts of one organisation and service, by window and objective.
using BurnCounts = std::array<std::array<BurnCount, kObjectiveCount>, kBurnWindows.size()>;

/// Organisation, and model or service, whose requests are counted together.
using BurnKey = std::pair<std::string, std::string>;

/// Outcome of one request with respect to the objectives.
struct BurnSample
{
  BurnKey mKey{};
  std::optional<Micros> mFirstToken{};    ///< none: no token was received
  std::optional<Micros> mBetweenTokens{}; ///< none: fewer than two tokens received
  bool mAdmitted = false;                 ///< false: it was refused
  bool mInDeadline = false;               ///< if admitted: whole response in time
  bool mWronglyRefused = false;
};

/**
 * @brief Counts the requests that met and missed their objectives, over several windows.
 *
 * Performs no I/O and reads no clock.
 *
 * Memory is bounded: at most kMaxKeys keys of about 3 KB each; further keys are counted together
 * under kOtherKey.
 */
class BurnRecorder
{
public:
  static constexpr std::size_t kMaxKeys = 2'048;
  static inline const BurnKey kOtherKey{ "(others)", "(others)" };

  /// @brief Counts one request. @par Complexity logarithmic in the keys
  void Record(const BurnSample& aSample, const ObjectivesSpec& aObjectives, TimePoint aNow);

  /// @brief Returns all counts of the windows that end at @p aNow.
  std::map<BurnKey, BurnCounts> Counts(TimePoint aNow) const;

private:
  struct Bucket
  {
    std::int64_t mNumber = -1; ///< index of the time span it counts; -1: unused
    std::array<BurnCount, kObjectiveCount> mCounts{};
  };
  using Ring = std::array<Bucket, kBurnBuckets>;
  using Rings = std::array<Ring, kBurnWindows.size()>;

  std::map<BurnKey, Rings> mRings;
};

/**
 * @brief Returns the share of requests that may miss an objective.
 * @return for example 0.05 if 95 in 100 must meet it
 */
double AllowedShare(const ObjectivesSpec& aObjectives, Objective aObjective);

/**
 * @brief Returns how fast the error budget is consumed.
 * @return 1 if it is used up exactly at the end of its period; 0 if no request was counted
 */
double BurnRate(const BurnCount& aCount, double aAllowedShare);

} // namespace gentianloom

#endif
