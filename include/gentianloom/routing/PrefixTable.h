#ifndef GENTIANLOOM_ROUTING_PREFIX_TABLE_H
#define GENTIANLOOM_ROUTING_PREFIX_TABLE_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gentianloom {

/// Hashes of a prompt's prefixes, shortest first: hash n covers the blocks 0 to n.
using PrefixHashes = std::vector<std::uint64_t>;

/// Bytes of one block of a prompt.
inline constexpr std::size_t kPrefixBlockBytes = 1'024;

/// Maximum number of blocks that are hashed; the rest of a prompt is ignored.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

/// @brief Returns the part of an engine's request body that holds the prompt: everything from the
/// "messages" key on, or the whole body if there is none.
std::string_view ExtractPrompt(std::string_view aBody);

/**
 * @brief Hashes the prefixes of a prompt. A partial block at the end is ignored.
 * @par Complexity linear in the prompt, up to kMaxPrefixBlocks blocks
 */
PrefixHashes HashPrefixes(std::string_view aPrompt);

/// A change of an engine's prefix cache, as the engine reports it.
struct CacheEvent
{
  std::int64_t mSequence = 0; ///< consecutive number of the engine's events
  std::uint64_t mHash = 0;    ///< hash of the prefix, see HashPrefixes()
  bool mIsStored = true;      ///< false: evicted
};

/**
 * @brief Estimates which prefixes one endpoint has cached, from events that may be delayed or lost.
 *
 * Each entry has a confidence that decays exponentially. A gap in the sequence numbers may hide
 * evictions, so it lowers the confidence of all older entries. The size is bounded: the oldest
 * entries are evicted first.
 */
class PrefixTable
{
public:
  /// @brief Applies a cache event of the endpoint. An event with a sequence number that is not
  /// newer than the last one is ignored.
  void OnEvent(const CacheEvent& aEvent, TimePoint aNow);

  /// @brief Records that a prompt was sent to the endpoint, which will probably cache it.
  void AddSentPrompt(std::span<const std::uint64_t> aPrefixes, TimePoint aNow);

  /// @brief Removes all entries, after the endpoint restarted.
  void Clear();

  /**
   * @brief Expected share of a prompt's hashed blocks that the endpoint has cached.
   * @return from 0 to 1
   * @par Complexity linear in the blocks
   */
  double CachedShare(std::span<const std::uint64_t> aPrefixes, TimePoint aNow) const;

  /// @brief Sequence number of the last event, after which the next poll continues; 0 if there was
  /// none.
  std::int64_t LastSequence() const { return mLastSequence; }

private:
  struct Entry
  {
    TimePoint mStoredAt;
    double mConfidence = 0;
    std::int64_t mGapCount = 0; ///< value of PrefixTable::mGapCount when the entry was stored
  };

  void Store(std::uint64_t aHash, double aConfidence, TimePoint aNow);
  double ConfidenceOf(std::uint64_t aHash, TimePoint aNow) const;

  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::deque<std::uint64_t> mInsertionOrder; ///< hashes, oldest first
  std::int64_t mLastSequence = 0;
  std::int64_t mGapCount = 0; ///< gaps in the sequence numbers so far
};

} // namespace gentianloom

#endif
