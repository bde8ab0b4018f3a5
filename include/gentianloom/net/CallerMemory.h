#ifndef GENTIANLOOM_NET_CALLER_MEMORY_H
#define GENTIANLOOM_NET_CALLER_MEMORY_H

#include "gentianloom/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace gentianloom::net {

/// What a connection of a caller makes this process hold.
enum class HeldKind
{
  Connection, ///< the connection itself, with its tasks
  Received,   ///< received bytes that are not parsed yet
  Head,       ///< of the current request, with the overhead of each field
  Body,       ///< of the current request, with its copy for the endpoint while it runs
  Response    ///< bytes of responses that the caller has not read
};

inline constexpr std::size_t kHeldKinds = 5;

/// @brief Name of a kind, for metrics.
std::string_view ToString(HeldKind aKind);

/// What a connection of a caller is doing, which decides how it can be closed.
enum class CallerState
{
  Idle,    ///< between requests, or its response is unread, or it is being closed
  Reading, ///< its request is incomplete, so it has not run
  Running  ///< its request may have run; the connection is not closed
};

/// Why a connection was closed or its request refused.
enum class ShedReason
{
  Memory,
  Connections
};

inline constexpr std::size_t kShedReasons = 2;

/// @brief Name of a reason, for metrics and logs.
std::string_view ToString(ShedReason aReason);

/// Bounds of what callers may make a process hold.
struct CallerMemoryLimits
{
  std::size_t mBytes = 1'024UL * 1'024 * 1'024;
  std::size_t mConnections = 100'000;
};

/// What the choice of the connection that is closed first depends on.
struct CallerHolding
{
  CallerState mState = CallerState::Idle;
  std::size_t mBytes = 0;
  Micros mStalledFor{ 0 }; ///< since the connection last made progress
};

/// A holding of at most this many bytes is small.
inline constexpr std::size_t kSmallHoldingBytes = 64 * 1'024;

/**
 * @brief Chooses the connection that is closed first to free memory: the one with the largest
 * product of the bytes that it holds and the time without progress.
 * @param aOnlyLarge leaves out small holdings
 * @return index in @p aHoldings, or nothing if none may be closed. Linear in the connections.
 */
std::optional<std::size_t> ChooseToFreeMemory(std::span<const CallerHolding> aHoldings,
                                              bool aOnlyLarge);

/**
 * @brief Chooses the connection that is closed first to make room for another one: the one that has
 * made no progress for the longest time.
 * @return index in @p aHoldings, or nothing if none may be closed. Linear in the connections.
 */
std::optional<std::size_t> ChooseToFreeConnection(std::span<const CallerHolding> aHoldings);

class CallerMemory;

/// The share of one connection in a CallerMemory, for as long as this object exists.
class CallerShare
{
public:
  /// Closes the connection or tells its task, which then finds IsShed().
  using OnShed = std::function<void(ShedReason)>;

  CallerShare(CallerMemory& aMemory, OnShed aOnShed);
  ~CallerShare();
  CallerShare(const CallerShare&) = delete;
  CallerShare& operator=(const CallerShare&) = delete;

  /// @brief States how much of a kind the connection holds now, in bytes. Connections may be shed,
  /// also this one.
  void Set(HeldKind aKind, std::size_t aBytes);

  /// @brief Counts received or written bytes. A few bytes now and then are no progress.
  void AddProgress(std::size_t aBytes);

  /// @brief Changes the state, which is progress.
  void SetState(CallerState aState);

  /// @brief States that the connection's descriptor is closed.
  void OnClosed();

  CallerState State() const { return mState; }

  /// @brief Whether the connection has to be closed; a request that is being read is refused.
  bool IsShed() const { return mIsShed; }

private:
  friend class CallerMemory;

  CallerMemory& mMemory;
  OnShed mOnShed;
  std::array<std::size_t, kHeldKinds> mHeld{};
  std::size_t mBytes = 0;
  std::size_t mUnmarkedBytes = 0; ///< progress that was not enough to count yet
  TimePoint mProgressAt{};
  CallerState mState = CallerState::Idle;
  bool mIsShed = false;
  bool mIsOpen = true;
  std::size_t mIndex = 0; ///< in CallerMemory::mShares
};

/**
 * @brief Account of the bytes that callers make a process hold, at all of its addresses, and of
 * their connections.
 *
 * Beyond three quarters of the bound connections with large holdings are shed, so that small
 * requests have the rest; beyond the bound any. A request that may have run is never shed. Stating
 * a holding takes constant time unless the bound is reached. Used on the event loop thread only.
 */
class CallerMemory
{
public:
  CallerMemory(const CallerMemoryLimits& aLimits, const Clock& aClock);

  /// @brief Makes room for one more connection. @return false if none can be closed for it
  bool MakeRoomForConnection();

  /// @brief Adds to the bytes of responses that are received for callers and not sent yet; negative
  /// when they are released.
  void AddBuffered(std::ptrdiff_t aBytes);

  /// @brief Whether more of a large request or response may be held.
  bool HasRoomForLarge() const { return mBytes <= LargeLimit(); }

  std::size_t Bytes() const { return mBytes; }
  std::size_t Bytes(HeldKind aKind) const { return mByKind.at(static_cast<std::size_t>(aKind)); }
  std::size_t Connections() const { return mOpen; }
  /// @brief How many connections were shed so far.
  std::uint64_t Shed(ShedReason aReason) const
  {
    return mShed.at(static_cast<std::size_t>(aReason));
  }

private:
  friend class CallerShare;

  std::size_t LargeLimit() const { return mLimits.mBytes / 4 * 3; }
  void Add(CallerShare& aShare);
  void Remove(CallerShare& aShare);
  void Change(HeldKind aKind, std::size_t aBefore, std::size_t aAfter);
  void FreeMemory();
  bool ShedOne(ShedReason aReason, bool aOnlyLarge);

  CallerMemoryLimits mLimits;
  const Clock& mClock;
  std::vector<CallerShare*> mShares;
  std::array<std::size_t, kHeldKinds> mByKind{}; ///< of connections that are not shed
  std::size_t mBytes = 0;                        ///< sum of mByKind, and what is buffered
  std::size_t mOpen = 0;
  std::array<std::uint64_t, kShedReasons> mShed{};
};

} // namespace gentianloom::net

#endif
