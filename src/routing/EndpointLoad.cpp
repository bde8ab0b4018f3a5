#include "gentianloom/routing/EndpointLoad.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// Figures that are older say nothing any more.
constexpr Millis kFiguresLife{ 2'000 };
/// News of a peer that is older says nothing any more; peers repeat theirs more often.
constexpr Millis kPeerNewsLife{ 500 };
/// Failures in a row that suspend an endpoint.
constexpr int kFailuresToSuspend = 3;
/// Weight of one outcome in the recent share of failures.
constexpr double kOutcomeWeight = 0.15;
/// Share of failures that suspends an endpoint.
constexpr double kFailuresShare = 0.4;
/// First suspension; each further one is twice as long, up to kMostDoublings times.
constexpr Millis kFirstSuspension{ 1'000 };
constexpr int kMostDoublings = 2;
/// Weight of one answer in the estimate of slowness.
constexpr double kLatencyWeight = 0.2;
/// Time in which an estimate of slowness without news halves.
constexpr double kSlownessHalfLife = 2.0;

} // namespace

std::int64_t PromptCacheEstimate::CachedTokens(std::span<const PromptPart> aParts) const
{
  std::int64_t out = 0;
  std::uint64_t key = 0;
  for (const auto& it : aParts) {
    key = key * 1'099'511'628'211ULL ^ it.mId;
    if (!mIndex.contains(key)) {
      break;
    }
    out += it.mTokens;
  }
  return out;
}

void PromptCacheEstimate::Touch(std::span<const PromptPart> aParts)
{
  std::uint64_t key = 0;
  for (const auto& it : aParts) {
    key = key * 1'099'511'628'211ULL ^ it.mId;
    const auto known = mIndex.find(key);
    if (known != mIndex.end()) {
      mOrder.splice(mOrder.begin(), mOrder, known->second);
      continue;
    }
    mOrder.push_front({ key, it.mTokens });
    mIndex[key] = mOrder.begin();
    mUsed += it.mTokens;
  }
  while (mUsed > mCapacity && !mOrder.empty()) {
    mUsed -= mOrder.back().mTokens;
    mIndex.erase(mOrder.back().mKey);
    mOrder.pop_back();
  }
}

void PromptCacheEstimate::Clear()
{
  mOrder.clear();
  mIndex.clear();
  mUsed = 0;
}

EndpointLoad::WorkId EndpointLoad::OnSent(std::int64_t aPrefillTokens)
{
  mWork[++mNextWork] = { aPrefillTokens, false };
  mPendingPrefill += aPrefillTokens;
  return mNextWork;
}

bool EndpointLoad::OnStarted(WorkId aWork)
{
  const auto it = mWork.find(aWork);
  if (it == mWork.end() || it->second.mHasStarted) {
    return false;
  }
  it->second.mHasStarted = true;
  mPendingPrefill -= it->second.mPrefillTokens;
  return true;
}

void EndpointLoad::OnEnded(WorkId aWork)
{
  OnStarted(aWork);
  mWork.erase(aWork);
}

void EndpointLoad::OnFigures(const LoadFigures& aFigures, TimePoint aNow)
{
  mFigures = aFigures;
  mOwnAtFigures = InFlight();
  mFiguresAt = aNow;
}

void EndpointLoad::OnPeerPending(const std::string& aPeer, std::int64_t aTokens, TimePoint aNow)
{
  if (aTokens > 0) {
    mPeers[aPeer] = { aTokens, aNow };
  } else {
    mPeers.erase(aPeer);
  }
}

std::int64_t EndpointLoad::PeersPending(TimePoint aNow) const
{
  std::int64_t out = 0;
  for (const auto& [peer, it] : mPeers) {
    out += aNow - it.mAt < kPeerNewsLife ? it.mTokens : 0;
  }
  return out;
}

void EndpointLoad::OnOutcome(bool aFailed, TimePoint aNow)
{
  mFailures = (1 - kOutcomeWeight) * mFailures + (aFailed ? kOutcomeWeight : 0);
  if (!aFailed) {
    mFailuresInRow = 0;
    mSuspensions = mFailures < kOutcomeWeight ? 0 : mSuspensions;
    return;
  }
  ++mFailuresInRow;
  if (mFailuresInRow >= kFailuresToSuspend || mFailures > kFailuresShare) {
    mSuspendedUntil = aNow + kFirstSuspension * (1 << std::min(mSuspensions++, kMostDoublings));
    mFailuresInRow = 0;
    mFailures = 0;
  }
}

void EndpointLoad::OnLatency(double aRatio, TimePoint aNow)
{
  mSlowness = (1 - kLatencyWeight) * Slowness(aNow) + kLatencyWeight * std::max(1.0, aRatio);
  mSlownessAt = aNow;
}

double EndpointLoad::Running(TimePoint aNow) const
{
  const auto own = static_cast<double>(InFlight());
  if (aNow - mFiguresAt > kFiguresLife) {
    return own;
  }
  const auto others = static_cast<double>(mFigures.mRunning + mFigures.mWaiting - mOwnAtFigures);
  return own + std::max(0.0, others);
}

double EndpointLoad::Slowness(TimePoint aNow) const
{
  const double passed = std::chrono::duration<double>(aNow - mSlownessAt).count();
  return 1 + (mSlowness - 1) * std::exp2(-passed / kSlownessHalfLife);
}

} // namespace gentianloom
