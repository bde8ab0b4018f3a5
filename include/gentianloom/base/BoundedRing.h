#ifndef GENTIANLOOM_BASE_BOUNDED_RING_H
#define GENTIANLOOM_BASE_BOUNDED_RING_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace gentianloom {

/**
 * @brief A bounded first-in first-out ring between two duties.
 *
 * Pushing never blocks: a full ring refuses, and the caller sheds. Popping blocks until an item
 * arrives, the ring is closed, or a timeout passes. All members may be called from any thread.
 *
 * @tparam T item type, movable
 */
template<typename T>
class BoundedRing
{
public:
  /// @param aCapacity most items held at once, at least 1
  explicit BoundedRing(std::size_t aCapacity)
    : mSlots(aCapacity == 0 ? 1 : aCapacity)
  {
  }

  /**
   * @brief Adds an item unless the ring is full or closed.
   * @return whether it was taken; if not, @p aItem is left untouched
   * @par Complexity constant
   */
  bool TryPush(T&& aItem)
  {
    {
      const std::lock_guard lock(mMutex);
      if (mClosed || mCount == mSlots.size()) {
        return false;
      }
      mSlots[(mHead + mCount) % mSlots.size()] = std::move(aItem);
      ++mCount;
    }
    mNotEmpty.notify_one();
    return true;
  }

  /**
   * @brief Takes the oldest item, waiting for one at most @p aTimeout.
   * @return the item, or nothing on timeout or when the ring is closed and empty
   * @par Complexity constant
   */
  std::optional<T> PopFor(std::chrono::milliseconds aTimeout)
  {
    std::unique_lock lock(mMutex);
    mNotEmpty.wait_for(lock, aTimeout, [this] { return mCount > 0 || mClosed; });
    return PopLocked();
  }

  /// @brief Takes the oldest item if there is one; never waits.
  std::optional<T> TryPop()
  {
    const std::lock_guard lock(mMutex);
    return PopLocked();
  }

  /// @brief Refuses further items and wakes every waiter; items held can still be popped.
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mNotEmpty.notify_all();
  }

  /// @brief Tells whether the ring is closed and empty.
  bool IsFinished() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed && mCount == 0;
  }

  /// @brief Number of items held now.
  std::size_t Size() const
  {
    const std::lock_guard lock(mMutex);
    return mCount;
  }

private:
  std::optional<T> PopLocked()
  {
    if (mCount == 0) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(mSlots[mHead]));
    mSlots[mHead] = T{};
    mHead = (mHead + 1) % mSlots.size();
    --mCount;
    return item;
  }

  mutable std::mutex mMutex;
  std::condition_variable mNotEmpty;
  std::vector<T> mSlots;
  std::size_t mHead = 0;
  std::size_t mCount = 0;
  bool mClosed = false;
};

} // namespace gentianloom

#endif
