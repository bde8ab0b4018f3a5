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
 * @brief A bounded, thread-safe first-in first-out queue in a ring buffer.
 *
 * Pushing never blocks: TryPush() returns false if the ring is full, and the caller sheds the item.
 * PopFor() blocks until an item arrives, the ring is closed, or a timeout expires.
 *
 * @tparam T item type, movable
 */
template<typename T>
class BoundedRing
{
public:
  /// @param aCapacity maximum number of items; 0 is treated as 1
  explicit BoundedRing(std::size_t aCapacity)
    : mSlots(aCapacity == 0 ? 1 : aCapacity)
  {
  }

  /**
   * @brief Adds an item unless the ring is full or closed.
   * @return whether the item was added; if not, @p aItem is unchanged
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
   * @brief Removes the oldest item, waiting up to @p aTimeout for one.
   * @return the item, or nothing on timeout or if the ring is closed and empty
   * @par Complexity constant
   */
  std::optional<T> PopFor(std::chrono::milliseconds aTimeout)
  {
    std::unique_lock lock(mMutex);
    mNotEmpty.wait_for(lock, aTimeout, [this] { return mCount > 0 || mClosed; });
    return PopLocked();
  }

  /// @brief Removes the oldest item if there is one; never waits.
  std::optional<T> TryPop()
  {
    const std::lock_guard lock(mMutex);
    return PopLocked();
  }

  /// @brief Closes the ring to new items and wakes all waiters; queued items can still be popped.
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mNotEmpty.notify_all();
  }

  /// @brief Returns whether the ring is closed and empty.
  bool IsFinished() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed && mCount == 0;
  }

  /// @brief Returns the number of queued items.
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
