#ifndef GENTIANLOOM_TESTS_STANDIN_PREFIX_CACHE_H
#define GENTIANLOOM_TESTS_STANDIN_PREFIX_CACHE_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/routing/PrefixTable.h"

#include <algorithm>
#include <deque>
#include <mutex>

namespace gentianloom::standin {

/**
 * @brief A bounded LRU cache of prompt prefixes that records its changes as events. Thread-safe.
 *
 * Only the newest events are kept, so a reader that polls too rarely sees a gap.
 */
class PrefixCache
{
public:
  void Store(const PrefixHashes& aPrefixes)
  {
    const std::lock_guard lock(mMutex);
    for (const auto it : aPrefixes) {
      const auto found = std::find(mPrefixes.begin(), mPrefixes.end(), it);
      if (found != mPrefixes.end()) {
        mPrefixes.erase(found);
        mPrefixes.push_back(it);
        continue;
      }
      mPrefixes.push_back(it);
      Publish(it, true);
      if (mPrefixes.size() > kMaxPrefixes) {
        Publish(mPrefixes.front(), false);
        mPrefixes.pop_front();
      }
    }
  }

  std::int64_t LastSequence()
  {
    const std::lock_guard lock(mMutex);
    return mSequence;
  }

  Json EventsAfter(std::int64_t aSequence)
  {
    const std::lock_guard lock(mMutex);
    Json list = Json::array();
    for (const auto& it : mEvents) {
      if (it.mSequence > aSequence) {
        list.push_back(
          { { "sequence", it.mSequence }, { "hash", it.mHash }, { "stored", it.mIsStored } });
      }
    }
    return { { "events", list } };
  }

private:
  static constexpr std::size_t kMaxPrefixes = 512;
  static constexpr std::size_t kMaxEvents = 256;

  void Publish(std::uint64_t aHash, bool aStored)
  {
    mEvents.push_back({ ++mSequence, aHash, aStored });
    if (mEvents.size() > kMaxEvents) {
      mEvents.pop_front();
    }
  }

  std::mutex mMutex;
  std::deque<std::uint64_t> mPrefixes; ///< least recently used first
  std::deque<CacheEvent> mEvents;
  std::int64_t mSequence = 0;
};

} // namespace gentianloom::standin

#endif
