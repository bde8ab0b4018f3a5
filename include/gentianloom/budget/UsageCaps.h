#ifndef GENTIANLOOM_BUDGET_USAGE_CAPS_H
#define GENTIANLOOM_BUDGET_USAGE_CAPS_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/budget/BudgetRecord.h"
#include "gentianloom/budget/Holding.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom {

/**
 * @brief An incarnation's promise to limit its use of tokens, stored under a key of its instance.
 *
 * Until mReserveDelay has passed since mReportedAt without another report, the incarnation uses no
 * more tokens of a budget than its cap. The tokens that it holds above the cap are a reserve for
 * outages of the key-value service; they may be used once that delay has passed, that is, the
 * reserve is open. If a process ended before its reserve opened, its successor can free the
 * reserve.
 */
struct UsageReport
{
  std::string mIncarnation;
  std::string mBoot;       ///< boot identifier of the host; its boot clock restarts with each boot
  Millis mReportedAt{ 0 }; ///< boot clock (CLOCK_BOOTTIME) at the report
  Millis mReserveDelay{ 0 };               ///< time from this report until the reserve opens
  std::map<std::string, Tokens> mCaps;     ///< cumulative tokens that may be used, by budget
  Millis mWallTime{ 0 };                   ///< wall-clock time of the report
  bool mIsWallClockSteady = false;         ///< no jump of the wall clock since the process start
  std::map<int, SeparateHoldings> mShards; ///< what the incarnation holds, by shard
  std::int64_t mEra = 0; ///< era of the key-value service at the report, see AsyncStore
};

/// What a successor under the same instance name knows about the end of its predecessor.
struct PredecessorEvidence
{
  std::string mBoot;          ///< boot identifier of the host; empty if not known
  Millis mStartedAt{ 0 };     ///< boot clock when the successor listened on the address
  Millis mWallTime{ 0 };      ///< wall-clock time of mStartedAt
  bool mIsLeaseAlive = false; ///< the predecessor's lease had not expired when it was read
  std::int64_t mEra = 0;      ///< current era; a report of another one may not be the last
};

/// @brief Returns the key of an instance's usage report in the key-value service.
std::string UsageReportKey(std::string_view aInstance);

/// @brief Serialises a usage report for the key-value service.
std::string ToText(const UsageReport& aReport);

/// @brief Parses a stored usage report. @return the report, or ErrorCode::MalformedJson
Result<UsageReport> ParseUsageReport(std::string_view aText);

/**
 * @brief Whether a predecessor surely ended before its reserve opened, so that it used no more
 *        than its caps.
 *
 * Within one boot the boot clock is sufficient. After a power loss, the elapsed wall-clock time
 * must be short enough and the predecessor's lease must not have expired. Neither is sufficient
 * alone: the wall clock may have been set, and leases do not expire while the key-value service is
 * down.
 */
bool EndedWithinCaps(const UsageReport& aPredecessor, const PredecessorEvidence& aEvidence);

/**
 * @brief Closes the holdings of a predecessor in a shard and counts the tokens that it may have
 *        used as spent. Holdings with transfers to or from peers are left for an operator.
 *
 * @param aIsWithinCaps result of EndedWithinCaps(); if false, all tokens of the predecessor count
 *                      as spent
 * @return the number of tokens freed
 */
Tokens ClosePredecessor(ShardRecord& aShard, const UsageReport& aPredecessor, bool aIsWithinCaps);

/// Timing of usage reports.
struct UsageCapSettings
{
  Millis mReportInterval{ 1'000 }; ///< longest time between reports
  Millis mGracePeriod{ 2'000 };    ///< time from the first missed report until the reserve opens
  /// A cap leaves room for the demand of this multiple of the time until the reserve opens. What
  /// it leaves free counts as used if the process ends, so the margin is small.
  double mHeadroomFactor = 1.5;
};

/**
 * @brief Decides how many of its tokens an incarnation may use now, and which caps it reports.
 *        Does no input or output.
 */
class UsageCaps
{
public:
  UsageCaps(std::string aIncarnation, std::string aBoot, const UsageCapSettings& aSettings);

  /**
   * @brief Returns the tokens of a budget that may be used before the next report; the maximum of
   *        Tokens if the reserve is open.
   */
  Tokens UsableTokens(const std::string& aBudget, const Holding& aHolding, TimePoint aNow) const;

  /// @brief Sets the report interval, which also delays the opening of the reserve.
  void SetReportInterval(Millis aInterval) { mSettings.mReportInterval = aInterval; }

  /// @brief Whether a report is due.
  bool IsDue(const std::map<std::string, Holding>& aHoldings, TimePoint aNow) const;

  /**
   * @brief Makes the next report.
   *
   * Until its outcome is known, the old caps stay in force and the reserve opens as late as if the
   * report had been stored.
   */
  UsageReport Plan(const std::map<std::string, Holding>& aHoldings,
                   TimePoint aNow,
                   Millis aWallTime);

  /// @brief Puts the caps of a stored report in force.
  void OnCommitted(const UsageReport& aReport);

  /// @brief Drops a report that was not stored and cannot be stored later.
  void OnNotCommitted(const UsageReport& aReport);

  /// @brief Whether the reserve is open, because no report was stored for a long enough time.
  bool IsReserveOpen(TimePoint aNow) const;

  /// @brief Time until the reserve opens unless a report is stored. Negative once it is open, unset
  ///        before the first report.
  std::optional<Millis> TimeUntilReserveOpens(TimePoint aNow) const;

private:
  /// Time from a report made now until the reserve opens.
  Millis ReserveDelay() const { return mSettings.mReportInterval + mSettings.mGracePeriod; }
  void CheckWallClock(TimePoint aNow, Millis aWallTime);
  Tokens CapFor(const Holding& aHolding) const;

  std::string mIncarnation;
  std::string mBoot;
  UsageCapSettings mSettings;
  bool mHasReported = false;
  UsageReport mReport;                  ///< last report known to be stored
  std::map<Millis, Millis> mUnresolved; ///< by report of unknown outcome: when the reserve opens
  std::optional<Millis> mWallOffset;    ///< wall clock minus monotonic clock
  bool mIsWallClockSteady = true;
};

} // namespace gentianloom

#endif
