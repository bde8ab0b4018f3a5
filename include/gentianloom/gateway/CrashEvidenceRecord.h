#ifndef GENTIANLOOM_GATEWAY_CRASH_EVIDENCE_RECORD_H
#define GENTIANLOOM_GATEWAY_CRASH_EVIDENCE_RECORD_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/routing/CrashEvidence.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianloom {

/// Prefix of the records of suspects. No instance watches it: what a running instance has to know
/// of them comes in crash reports.
inline constexpr std::string_view kCrashEvidencePrefix = "/gentianloom/crash-evidence/";

/// Keys of CrashEvidence with what is known against them.
using Suspects = std::vector<std::pair<std::string, CrashEvidence::Suspect>>;

/// @brief Serializes suspects as JSON, with the ages of their interruptions.
std::string EncodeSuspects(const Suspects& aSuspects, TimePoint aNow);

/// @brief Parses a stored record. @return ErrorCode::MalformedJson if the text is not a valid one
Result<Suspects> ParseSuspects(std::string_view aText, TimePoint aNow);

/**
 * @brief Keeps what is known against requests that are not blocked yet, over the end of all
 *        instances.
 *
 * Each instance has one record in the key-value service, with the suspects of which it is one of
 * the first keepers. An instance that starts reads all of them once. Without them, a request that
 * crashes endpoints would be counted anew whenever all instances ended at the same time.
 *
 * A record outlives its instance: its lease ends when what it says is no longer remembered.
 */
class CrashEvidenceRecord
{
public:
  /// Suspects in one record; beyond them those with the fewest interruptions are left out.
  static constexpr std::size_t kMaxSuspects = 64;
  /// First keepers of a key that record it. The second one does so in case that the first one
  /// cannot reach the key-value service.
  static constexpr std::size_t kRecorders = 2;
  /// A request that ran beside the one at fault is mostly survived by an endpoint within this time,
  /// and is not recorded then.
  static constexpr Millis kFirstInterruptionDelay{ 1'000 };
  /// A suspect that was cleared is taken out of the record after at most this time.
  static constexpr Millis kRemovalDelay{ 5'000 };
  /// Shortest time between two writes of one instance, and the part of it for each other instance:
  /// when a rack is lost, all instances have something to write.
  static constexpr Millis kMinWriteInterval{ 500 };
  static constexpr Millis kWriteIntervalPerInstance{ 10 };

  /**
   * @param aSelf address of this instance, the name of its record
   * @param aIsRecorder whether this instance records a key
   * @param aPeerCount returns the number of other instances
   */
  CrashEvidenceRecord(CrashEvidence& aEvidence,
                      std::string aSelf,
                      std::function<bool(const std::string&)> aIsRecorder,
                      std::function<std::size_t()> aPeerCount,
                      AsyncStore& aStore,
                      const Clock& aClock,
                      Metrics& aMetrics);

  /// @brief Notes that the evidence against a key has changed.
  void OnChanged(const std::string& aKey);

  /// @brief Reads the stored records until that has succeeded once, then writes the record of this
  /// instance if it is due. Call it periodically.
  /// @return the keys against which more is known than before
  net::Task<std::vector<std::string>> Update();

private:
  /// Suspects by key and number of interruptions, without the ages, which change all the time.
  using Summary = std::vector<std::pair<std::string, int>>;

  static Summary Summarize(const Suspects& aSuspects);
  std::string RecordKey() const;
  /// Whether a suspect belongs into the record of this instance.
  bool IsWanted(const std::string& aKey) const;
  void SetDue(Millis aDelay);
  /// Takes over all stored records. Returns the keys against which more is known than before.
  net::Task<std::vector<std::string>> Read();
  net::Task<void> WriteIfDue();
  /// Returns the lease of the record, which lasts longer than what is written is remembered.
  net::Task<std::optional<LeaseId>> EnsureLease();
  net::Task<bool> Write(Suspects aSuspects);
  std::vector<std::string> TakeOver(const KeyValue& aEntry);
  /// Makes the record be written again if the service has come back from an older copy.
  void CheckEra();

  CrashEvidence& mEvidence;
  std::string mSelf;
  std::function<bool(const std::string&)> mIsRecorder;
  std::function<std::size_t()> mPeerCount;
  AsyncStore& mStore;
  const Clock& mClock;
  Metrics& mMetrics;
  bool mHasRead = false; ///< before that, a write could replace what a predecessor knew
  std::int64_t mEra = 0; ///< of the service, when the record was read or written
  std::optional<TimePoint> mDueAt;
  TimePoint mNextCallAt{};
  Summary mWritten; ///< in the record
  std::optional<LeaseId> mLease;
  TimePoint mLeaseGrantedAt{};
};

} // namespace gentianloom

#endif
