#ifndef GENTIANLOOM_GATEWAY_BLOCKED_REQUESTS_H
#define GENTIANLOOM_GATEWAY_BLOCKED_REQUESTS_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/routing/CrashEvidence.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Prefix of the records of blocked requests. All instances watch it with the records of the
/// instances, since a watch of its own would cost as many calls again.
inline constexpr std::string_view kBlockedRequestPrefix =
  "/gentianloom/instances/blocked-requests/";

/// Content of a key under kBlockedRequestPrefix, which ends with the key of the requests.
struct BlockedRequestRecord
{
  bool mIsBlocked = true; ///< false: an endpoint survived a run, so that they may be sent again
  Millis mFirstInterruptionAgo{ 0 };
  Millis mBlockTimeLeft{ 0 };
  int mTrials = 0; ///< requests that were let through since the block began
};

/// @brief Serializes a record as JSON.
std::string ToText(const BlockedRequestRecord& aRecord);

/// @brief Parses a stored record. @return ErrorCode::MalformedJson if the text is not a valid one
Result<BlockedRequestRecord> ParseBlockedRequestRecord(std::string_view aText);

/**
 * @brief The requests that no endpoint may get, by the keys of CrashEvidence, at all instances.
 *
 * A block is recorded in the key-value service, from which all instances learn it, also those that
 * start later. From time to time one instance may send a single request with the key, a trial. It
 * takes the trial by a change of the record, so that no other instance sends one as well. An
 * instance that has seen an endpoint survive a run since the block's first interruption takes the
 * block back.
 */
class BlockedRequests
{
public:
  /// A block ends if no request came for a trial in this time.
  static constexpr Millis kBlockTime{ 1'200'000 };
  /// Time from the start of a block, and from each of its trials, to the next trial. The first ones
  /// follow soon, since a key may have been blocked for what ended beside it.
  static constexpr Millis kTrialPauses[] = { Millis(1'000), Millis(4'000), Millis(600'000) };
  /// A request with several blocked keys leaves the trials to those with one for this time.
  static constexpr Millis kCombinedTrialDelay{ 2'000 };

  /// @param aRecordDelay returns how long this instance leaves the record of a key to others
  BlockedRequests(CrashEvidence& aEvidence,
                  std::function<Millis(const std::string&)> aRecordDelay,
                  AsyncStore& aStore,
                  const Clock& aClock,
                  Metrics& aMetrics);

  /// @brief Returns for how long requests with a key must not be sent; nothing if they may.
  std::optional<Millis> BlockedFor(const std::string& aKey) const;

  /// @brief Whether TakeTrial() may succeed for a request with blocked keys.
  bool IsTrialDue(std::span<const std::string> aKeys) const;

  /// @brief Takes the trial of all blocked keys of a request. @return whether it may be sent
  net::Task<bool> TakeTrial(std::vector<std::string> aKeys);

  /// @brief Blocks requests with a key; no effect if they are blocked.
  void Block(const std::string& aKey, TimePoint aFirstInterruptionAt);

  /// @brief Notes that an endpoint survived a run, which takes back a block that began before.
  void OnSurvived(const std::string& aKey, TimePoint aSentAt);

  /// @brief Takes over a stored record.
  void OnRecord(const KeyValue& aEntry);
  /// @brief Notes that a stored record was deleted or has expired.
  void OnRecordDeleted(std::string_view aRecordKey);
  /// @brief Takes over all stored records; those that are missing are written again.
  void OnRecords(std::span<const KeyValue> aEntries);

  /// @brief Writes the records that are due and drops what has ended. Call it periodically.
  net::Task<void> Update();

private:
  /// A block that holds, or was taken back and is kept until that is recorded.
  struct Entry
  {
    TimePoint mFirstInterruptionAt{};
    TimePoint mUntil{};
    bool mIsCleared = false;
    int mTrials = 0;
    TimePoint mTrialAt{}; ///< when the next trial is due
    bool mIsRecorded = false;
    TimePoint mRecordAt{}; ///< when this instance writes the record unless another one has
    Revision mRevision = 0;
  };
  using Blocks = std::map<std::string, Entry>;

  bool IsBlocked(const Entry& aBlock) const;
  std::vector<std::string> BlockedKeys(std::span<const std::string> aKeys) const;
  void Clear(const std::string& aKey, Entry& aBlock);
  /// Writes the record of a known block again, over the entry of a revision.
  void WriteAgain(const std::string& aKey, Revision aRevision);
  void SetTrials(Entry& aBlock, int aTrials) const;
  BlockedRequestRecord RecordOf(const Entry& aBlock) const;
  net::Task<void> WriteRecord(std::string aKey);

  CrashEvidence& mEvidence;
  std::function<Millis(const std::string&)> mRecordDelay;
  AsyncStore& mStore;
  const Clock& mClock;
  Metrics& mMetrics;
  Blocks mBlocks; ///< by key
};

} // namespace gentianloom

#endif
