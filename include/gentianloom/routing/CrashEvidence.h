#ifndef GENTIANLOOM_ROUTING_CRASH_EVIDENCE_H
#define GENTIANLOOM_ROUTING_CRASH_EVIDENCE_H

#include "gentianloom/base/Clock.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gentianloom {

/**
 * @brief Tells what crashes endpoints from what only ran beside it. No I/O.
 *
 * Crashes are counted by keys: that of a request, and those of the shared parts of its prompt. A
 * connection that ends under a request says little: the endpoint may have crashed under another
 * request, been lost with its rack, or been cut off. Two facts tell the cause apart. No endpoint
 * survives it, so any run with the key that an endpoint survived clears the key. And it ends
 * endpoints one after the other: a run counts only if it was sent after the interruption before it,
 * so that the loss of many endpoints at the same time counts once.
 */
class CrashEvidence
{
public:
  /// Interruptions in a row after which requests with a key are to be blocked.
  static constexpr int kInterruptionsToBlock = 3;
  /// How long interruptions and survived runs are remembered.
  static constexpr Millis kMemory{ 300'000 };
  /// Bounds of the memory; beyond them the oldest entries are dropped.
  static constexpr std::size_t kMaxSuspects = 10'000;
  static constexpr std::size_t kMaxSurvived = 20'000;

  /// Interruptions in a row of runs with one key.
  struct Suspect
  {
    int mInterruptions = 0;
    TimePoint mFirstAt{};
    TimePoint mLastAt{};
  };

  /**
   * @brief Notes that a connection ended under a request.
   * @param aSentAt when the request was sent to the endpoint
   * @return whether requests with the key are to be blocked
   */
  bool OnInterrupted(const std::string& aKey, TimePoint aSentAt, TimePoint aEndedAt);

  /// @brief Notes that an endpoint survived a run. @return whether the key was a suspect
  bool OnSurvived(const std::string& aKey, TimePoint aSentAt, TimePoint aNow);

  /// @brief Forgets what is known against a key.
  void Clear(const std::string& aKey) { mSuspects.erase(aKey); }

  /// @brief Returns what is known against a key; nothing if it is no suspect.
  std::optional<Suspect> Find(const std::string& aKey) const;

  /// @brief Returns when the last run was sent that an endpoint is known to have survived.
  std::optional<TimePoint> LastSurvived(const std::string& aKey) const;

  /// @brief Whether an endpoint is known to have survived a run that was sent after a time.
  bool HasSurvivedSince(const std::string& aKey, TimePoint aTime) const
  {
    const auto last = LastSurvived(aKey);
    return last && *last >= aTime;
  }

  /**
   * @brief Takes over what another instance knew against a key.
   *
   * What is known here already counts if it is more, and a key that an endpoint has survived since
   * stays cleared.
   * @return whether the key is a suspect by more interruptions than before
   */
  bool TakeOver(const std::string& aKey, const Suspect& aSuspect);

  /**
   * @brief Returns the keys with the most interruptions, and of these those with the latest ones.
   * @param aCount maximum number of keys
   * @param aIsWanted whether a key may be returned
   * @par Complexity n log(n) in the number of suspects
   */
  std::vector<std::pair<std::string, Suspect>> MostSuspicious(
    std::size_t aCount,
    const std::function<bool(const std::string&)>& aIsWanted) const;

  /// @brief Drops what is older than kMemory.
  void RemoveExpired(TimePoint aNow);

private:
  /// Drops the suspect whose last interruption is the oldest if another one would be too many.
  void MakeRoomFor(const std::string& aKey);

  /// Runs with one key that endpoints survived.
  struct Survived
  {
    TimePoint mLastSentAt{};
    TimePoint mNotedAt{}; ///< of the key's last entry in mSurvivedOrder
  };

  void DropOldestSurvived();

  std::map<std::string, Suspect> mSuspects;
  std::map<std::string, Survived> mSurvived;
  std::deque<std::pair<TimePoint, std::string>> mSurvivedOrder; ///< oldest first, may repeat
};

} // namespace gentianloom

#endif
