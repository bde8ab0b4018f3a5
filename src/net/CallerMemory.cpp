#include "gentianloom/net/CallerMemory.h"

#include <algorithm>

namespace gentianloom::net {

namespace {

/// What a connection takes by itself: buffers of its socket object, tasks, timers, parser.
constexpr std::size_t kConnectionBytes = 12 * 1'024;
/// A connection makes progress with this many bytes. A caller that sends single bytes would
/// otherwise count as one that progresses.
constexpr std::size_t kProgressBytes = 4 * 1'024;
/// Added to the time without progress, so that among connections that all progress the one with the
/// largest holding is chosen.
constexpr Micros kMinStall{ Millis(100) };

bool MayBeShed(const CallerHolding& aHolding)
{
  return aHolding.mState != CallerState::Running;
}

double Weight(const CallerHolding& aHolding)
{
  return static_cast<double>(aHolding.mBytes) *
         static_cast<double>((aHolding.mStalledFor + kMinStall).count());
}

} // namespace

std::string_view ToString(HeldKind aKind)
{
  switch (aKind) {
    case HeldKind::Connection:
      return "connection";
    case HeldKind::Received:
      return "received";
    case HeldKind::Head:
      return "head";
    case HeldKind::Body:
      return "body";
    case HeldKind::Response:
      return "response";
  }
  return "unknown";
}

std::string_view ToString(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Memory:
      return "memory";
    case ShedReason::Connections:
      return "connections";
  }
  return "unknown";
}

std::optional<std::size_t> ChooseToFreeMemory(std::span<const CallerHolding> aHoldings,
                                              bool aOnlyLarge)
{
  std::optional<std::size_t> out;
  for (std::size_t n = 0; n < aHoldings.size(); ++n) {
    const auto& it = aHoldings[n];
    const bool isLeftOut = aOnlyLarge && it.mBytes <= kSmallHoldingBytes;
    if (!MayBeShed(it) || isLeftOut) {
      continue;
    }
    if (!out || Weight(it) > Weight(aHoldings[*out])) {
      out = n;
    }
  }
  return out;
}

std::optional<std::size_t> ChooseToFreeConnection(std::span<const CallerHolding> aHoldings)
{
  std::optional<std::size_t> out;
  for (std::size_t n = 0; n < aHoldings.size(); ++n) {
    const auto& it = aHoldings[n];
    if (!MayBeShed(it)) {
      continue;
    }
    if (!out || it.mStalledFor > aHoldings[*out].mStalledFor) {
      out = n;
    }
  }
  return out;
}

CallerShare::CallerShare(CallerMemory& aMemory, OnShed aOnShed)
  : mMemory(aMemory)
  , mOnShed(std::move(aOnShed))
  , mProgressAt(aMemory.mClock.Now())
{
  mMemory.Add(*this);
  // Without Set(), which may shed this share before its owner is complete.
  mHeld.at(static_cast<std::size_t>(HeldKind::Connection)) = kConnectionBytes;
  mBytes = kConnectionBytes;
  mMemory.Change(HeldKind::Connection, 0, kConnectionBytes);
}

CallerShare::~CallerShare()
{
  mMemory.Remove(*this);
}

void CallerShare::Set(HeldKind aKind, std::size_t aBytes)
{
  auto& held = mHeld.at(static_cast<std::size_t>(aKind));
  const auto before = held;
  if (before == aBytes) {
    return;
  }
  held = aBytes;
  mBytes += aBytes - before;
  if (mIsShed) {
    return;
  }
  mMemory.Change(aKind, before, aBytes);
  if (aBytes > before && !mMemory.HasRoomForLarge()) {
    mMemory.FreeMemory();
  }
}

void CallerShare::AddProgress(std::size_t aBytes)
{
  mUnmarkedBytes += aBytes;
  if (mUnmarkedBytes >= kProgressBytes) {
    mUnmarkedBytes = 0;
    mProgressAt = mMemory.mClock.Now();
  }
}

void CallerShare::SetState(CallerState aState)
{
  mState = aState;
  mUnmarkedBytes = 0;
  mProgressAt = mMemory.mClock.Now();
}

void CallerShare::OnClosed()
{
  mMemory.mOpen -= mIsOpen ? 1 : 0;
  mIsOpen = false;
}

CallerMemory::CallerMemory(const CallerMemoryLimits& aLimits, const Clock& aClock)
  : mLimits(aLimits)
  , mClock(aClock)
{
}

void CallerMemory::Add(CallerShare& aShare)
{
  aShare.mIndex = mShares.size();
  mShares.push_back(&aShare);
  ++mOpen;
}

void CallerMemory::Remove(CallerShare& aShare)
{
  for (std::size_t n = 0; n < kHeldKinds; ++n) {
    aShare.Set(static_cast<HeldKind>(n), 0);
  }
  aShare.OnClosed();
  mShares.back()->mIndex = aShare.mIndex;
  mShares.at(aShare.mIndex) = mShares.back();
  mShares.pop_back();
}

void CallerMemory::Change(HeldKind aKind, std::size_t aBefore, std::size_t aAfter)
{
  mByKind.at(static_cast<std::size_t>(aKind)) += aAfter - aBefore;
  mBytes += aAfter - aBefore;
}

void CallerMemory::AddBuffered(std::ptrdiff_t aBytes)
{
  mBytes += static_cast<std::size_t>(aBytes);
  if (aBytes > 0 && !HasRoomForLarge()) {
    FreeMemory();
  }
}

bool CallerMemory::MakeRoomForConnection()
{
  while (mOpen >= mLimits.mConnections) {
    const auto before = mOpen;
    if (!ShedOne(ShedReason::Connections, false) || mOpen >= before) {
      return false;
    }
  }
  return true;
}

void CallerMemory::FreeMemory()
{
  while (mBytes > LargeLimit()) {
    const bool isOnlyLarge = mBytes <= mLimits.mBytes;
    if (!ShedOne(ShedReason::Memory, isOnlyLarge)) {
      return;
    }
  }
}

bool CallerMemory::ShedOne(ShedReason aReason, bool aOnlyLarge)
{
  const bool isForMemory = aReason == ShedReason::Memory;
  const auto now = mClock.Now();
  std::vector<CallerShare*> candidates;
  std::vector<CallerHolding> holdings;
  candidates.reserve(mShares.size());
  holdings.reserve(mShares.size());
  for (auto* it : mShares) {
    const bool isDone = isForMemory ? it->mIsShed : !it->mIsOpen;
    if (isDone) {
      continue;
    }
    candidates.push_back(it);
    holdings.push_back(
      { it->mState, it->mBytes, std::chrono::duration_cast<Micros>(now - it->mProgressAt) });
  }
  const auto chosen =
    isForMemory ? ChooseToFreeMemory(holdings, aOnlyLarge) : ChooseToFreeConnection(holdings);
  if (!chosen) {
    return false;
  }
  auto& share = *candidates.at(*chosen);
  if (!share.mIsShed) {
    // What it holds is released as soon as its task runs, so it counts as released.
    for (std::size_t n = 0; n < kHeldKinds; ++n) {
      Change(static_cast<HeldKind>(n), share.mHeld.at(n), 0);
    }
    share.mIsShed = true;
  }
  ++mShed.at(static_cast<std::size_t>(aReason));
  share.mOnShed(aReason);
  return true;
}

} // namespace gentianloom::net
