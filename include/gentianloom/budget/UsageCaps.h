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
 * @brief What an incarnation has stated about its use of rights, in a key of its instance.
 *
 * Until mOpensAfter has passed since mReportedAt without another report, the incarnation uses no
 * more of a budget than its cap. What it holds beyond is a reserve for outages of the key-value
 * service.
 */
struct UsageReport
{
  std::string mIncarnation;
  std::string mBoot;       ///< identifies the boot of the machine; its clock counts from there
  Millis mReportedAt{ 0 }; ///< clock of the machine that also counts suspension
  Millis mOpensAfter{ 0 }; ///< time without a report after which the reserve is open
  std::map<std::string, Tokens> mCaps; ///< by budget
  Millis mWallTime{ 0 };               ///< wall-clock time of the report
  bool mIsWallClockSteady = false;     ///< the wall clock was not set since the process started
};

/// What a successor on the same machine knows of when its predecessor ended.
struct PredecessorEvidence
{
  std::string mBoot;          ///< identifies the boot of the machine; empty: not known
  Millis mStartedAt{ 0 };     ///< when it took the address that only one process can hold
  Millis mWallTime{ 0 };      ///< the same moment by the wall clock
  bool mLeaseIsAlive = false; ///< the predecessor's lease had not ended at that moment
};

/// @brief Key of an instance's report in the key-value service.
std::string UsageReportKey(std::string_view aInstance);

/// @brief Writes a report for storing.
std::string ToText(const UsageReport& aReport);

/// @brief Reads a stored report. @return ErrorCode::MalformedJson if it is none
Result<UsageReport> ParseUsageReport(std::string_view aText);

/**
 * @brief Whether a predecessor on the same machine ended before its reserve opened.
 *
 * On the same boot the machine's clock shows it. After a loss of power the wall clock and the lease
 * have to agree: the one may be set, the other stands still while the key-value service is down.
 */
bool EndedWithinCaps(const UsageReport& aPredecessor, const PredecessorEvidence& aSigns);

/**
 * @brief Closes the rights of a predecessor that has ended: what it may have used counts as spent.
 *
 * @param aIsWithinCaps see EndedWithinCaps(); if not, all that it held counts as spent
 * @return tokens that are free again
 */
Tokens FoldPredecessor(ShardRecord& aShard, const UsageReport& aPredecessor, bool aIsWithinCaps);

/// Times of usage reports.
struct UsageCapSettings
{
  Millis mReportEvery{ 1'000 }; ///< a report is made at least this often
  Millis mOpensAfter{ 2'000 };  ///< time after a due report after which the reserve is open
  Millis mHeadroom{ 1'500 };    ///< demand that a cap leaves room for
};

/**
 * @brief Decides how much of its rights an incarnation may use now, and what it reports. Pure.
 */
class UsageCaps
{
public:
  UsageCaps(std::string aIncarnation, std::string aBoot, const UsageCapSettings& aSettings);

  /// @brief Tokens of a budget that may be used before the next report; Tokens::max if open.
  Tokens Room(const std::string& aBudget, const Holding& aHolding, TimePoint aNow) const;

  /// @brief Changes how often a report is made, and with it when the reserve opens.
  void SetReportInterval(Millis aInterval) { mSettings.mReportEvery = aInterval; }

  /// @brief Whether a report is due.
  bool IsDue(const std::map<std::string, Holding>& aHoldings, TimePoint aNow) const;

  /// @brief Makes the next report; until its fate is known it counts where that is the safe side.
  UsageReport Plan(const std::map<std::string, Holding>& aHoldings,
                   TimePoint aNow,
                   Millis aWallTime);

  void OnCommitted(const UsageReport& aReport);    ///< the report is stored
  void OnNotCommitted(const UsageReport& aReport); ///< it is not and cannot come later

  /// @brief Whether the key-value service was out of reach for so long that the reserve is open.
  bool IsOpen(TimePoint aNow) const;

  /// @brief Time until the reserve opens if no report is stored; unset before the first one.
  std::optional<Millis> OpensIn(TimePoint aNow) const;

private:
  Millis OpensAfter() const { return mSettings.mReportEvery + mSettings.mOpensAfter; }
  void WatchWallClock(TimePoint aNow, Millis aWallTime);
  Tokens CapFor(const Holding& aHolding) const;

  std::string mIncarnation;
  std::string mBoot;
  UsageCapSettings mSettings;
  bool mHasReported = false;
  UsageReport mReport;                  ///< last one that is known to be stored
  std::map<Millis, Millis> mUnresolved; ///< reports that may be stored: made at, reserve opens at
  std::optional<Millis> mWallOffset;    ///< of the wall clock against the monotone one
  bool mIsWallClockSteady = true;
};

} // namespace gentianloom

#endif
