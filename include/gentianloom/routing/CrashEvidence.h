#ifndef GENTIANLOOM_ROUTING_CRASH_EVIDENCE_H
#define GENTIANLOOM_ROUTING_CRASH_EVIDENCE_H

#include "gentianloom/base/Clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace gentianloom {

/**
 * @brief Tells requests that crash the endpoints which run them from those that only ran beside
 *        them, by their fingerprints. No I/O.
 *
 * A connection that ends under a request says little: the endpoint may have crashed under another
 * request, been lost with its rack, or been cut off. Two facts tell them apart. A request at fault
 * never completes, so any completed run clears it. And it ends endpoints one after the other: a run
 * counts only if it was sent after the interruption before it, so that the loss of many endpoints
 * at the same time counts once.
 */
class CrashEvidence
{
public:
  /// Interruptions in a row after which a request is to be blocked.
  static constexpr int kInterruptionsToBlock = 3;
  /// How long interruptions and completions are remembered.
  static constexpr Millis kMemory{ 300'000 };
  /// Bounds of the memory; beyond them the oldest entries are dropped.
  static constexpr std::size_t kMaxSuspects = 10'000;
  static constexpr std::size_t kMaxCompletions = 20'000;

  /// Interruptions in a row of the runs of one request.
  struct Suspect
  {
    int mInterruptions = 0;
    TimePoint mFirstAt{};
    TimePoint mLastAt{};
  };

  /**
   * @brief Notes that a connection ended under a request.
   * @param aSentAt when the request was sent to the endpoint
   * @return whether the request is to be blocked
   */
  bool OnInterrupted(const std::string& aFingerprint, TimePoint aSentAt, TimePoint aEndedAt);

  /// @brief Notes that a run completed. @return whether the request was a suspect
  bool OnCompleted(const std::string& aFingerprint, TimePoint aSentAt, TimePoint aNow);

  /// @brief Clears a request of which another instance completed a run.
  void Clear(const std::string& aFingerprint) { mSuspects.erase(aFingerprint); }

  /// @brief Returns what is known against a request; nothing if it is no suspect.
  std::optional<Suspect> Find(const std::string& aFingerprint) const;

  /// @brief Whether a run that was sent after a point in time is known to have completed.
  bool HasCompletedSince(const std::string& aFingerprint, TimePoint aTime) const;

  /// @brief Drops what is older than kMemory.
  void RemoveExpired(TimePoint aNow);

private:
  std::map<std::string, Suspect> mSuspects;
  std::map<std::string, TimePoint> mCompletions; ///< when the last completed run was sent
  std::deque<std::pair<TimePoint, std::string>> mCompletionOrder; ///< oldest first, may repeat
};

} // namespace gentianloom

#endif
