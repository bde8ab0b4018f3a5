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
 * @brief An incarnation's promise about its use of tokens, stored under a key of its instance.
 *
 * Until mReserveDelay has passed since mReportedAt without another report, the incarnation uses no
 * more tokens of a budget than its cap. The tokens that it holds above the cap are a reserve for
 * outages of the key-value service; the reserve is open once that delay has passed. A successor
 * can therefore free the reserve of a process that ended earlier.
 */
struct UsageReport
{
  std::string mIncarnation;
  std::string mBoot;                   ///< boot identifier of the host; its clock starts there
  Millis mReportedAt{ 0 };             ///< by the host's clock that includes time suspended
  Millis mReserveDelay{ 0 };           ///< time without a report until the reserve opens
  std::map<std::string, Tokens> mCaps; ///< cumulative tokens, by budget
  Millis mWallTime{ 0 };               ///< wall-clock time of the report
  bool mIsWallClockSteady = false;     ///< it was not set since the process started
};

/// What a successor under the same instance name knows about the end of its predecessor.
struct PredecessorEvidence
{
  std::string mBoot;          ///< boot identifier of the host; empty if not known
  Millis mStartedAt{ 0 };     ///< when the successor began to listen on the instance's address
  Millis mWallTime{ 0 };      ///< wall-clock time of mStartedAt
  bool mIsLeaseAlive = false; ///< the predecessor's lease had not expired then
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
 * Within one boot the host's clock is sufficient. After a power loss the wall clock and the lease
 * both have to show it: the wall clock may have been set, and leases do not expire while the
 * key-value service is down.
 */
bool EndedWithinCaps(const UsageReport& aPredecessor, const PredecessorEvidence& aEvidence);

/**
 * @brief Closes the holdings of a predecessor in a shard and counts the tokens that it may have
 *        used as spent. Holdings with transfers to or from peers are left for an operator.
 *
 * @param aIsWithinCaps result of EndedWithinCaps(); if false, all its tokens count as spent
 * @return tokens freed
 */
Tokens ClosePredecessor(ShardRecord& aShard, const UsageReport& aPredecessor, bool aIsWithinCaps);

/// Timing of usage reports.
struct UsageCapSettings
{
  Millis mReportInterval{ 1'000 }; ///< longest time between reports
  Millis mReserveDelay{ 2'000 };   ///< time from a missed report until the reserve opens
  Millis mHeadroom{ 1'500 };       ///< time for whose demand a cap leaves room
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

  /// @brief Whether no report could be stored for so long that the reserve is open.
  bool IsReserveOpen(TimePoint aNow) const;

  /// @brief Time until the reserve opens if no report is stored; unset before the first report.
  std::optional<Millis> TimeUntilReserveOpens(TimePoint aNow) const;

private:
  Millis ReserveDelay() const { return mSettings.mReportInterval + mSettings.mReserveDelay; }
  void CheckWallClock(TimePoint aNow, Millis aWallTime);
  Tokens CapFor(const Holding& aHolding) const;

  std::string mIncarnation;
  std::string mBoot;
  UsageCapSettings mSettings;
  bool mHasReported = false;
  UsageReport mReport;                  ///< last report known to be stored
  std::map<Millis, Millis> mUnresolved; ///< reports that may be stored: time, time of opening
  std::optional<Millis> mWallOffset;    ///< wall clock minus monotonic clock
  bool mIsWallClockSteady = true;
};

} // namespace gentianloom

#endif
