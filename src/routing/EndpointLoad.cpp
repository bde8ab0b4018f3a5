#include "gentianloom/routing/EndpointLoad.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentianloom {

namespace {

/// Age at which a reported load is no longer used.
constexpr Millis kMaxReportedLoadAge{ 2'000 };
/// Age at which the pending tokens of a peer are no longer used. Peers report more often.
constexpr Millis kMaxPeerPendingAge{ 500 };
/// Consecutive failures that suspend an endpoint.
constexpr int kFailuresToSuspend = 3;
/// Weight of one outcome in the moving average of failures.
constexpr double kOutcomeWeight = 0.15;
/// Moving average of failures above which an endpoint is suspended.
constexpr double kSuspendingFailureShare = 0.4;
/// First suspension; each further one is twice as long, for at most kMaxDoublings times.
constexpr Millis kFirstSuspension{ 1'000 };
constexpr int kMaxDoublings = 2;
/// Weight of one answer in the slowdown factor.
constexpr double kLatencyWeight = 0.2;
/// Half-life of the slowdown factor without new answers.
constexpr double kSlowdownHalfLifeSeconds = 2.0;

} // namespace

void PromptCacheEstimate::SetCapacity(std::int64_t aCapacity, std::size_t aEndpoints)
{
  mCapacity = aCapacity;
  mMaxParts = std::max(kMinParts, kMaxPartsTogether / std::max<std::size_t>(aEndpoints, 1));
}

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
      mRecentlyUsed.splice(mRecentlyUsed.begin(), mRecentlyUsed, known->second);
      continue;
    }
    mRecentlyUsed.push_front({ key, it.mTokens });
    mIndex[key] = mRecentlyUsed.begin();
    mUsed += it.mTokens;
  }
  while ((mUsed > mCapacity || Parts() > mMaxParts) && !mRecentlyUsed.empty()) {
    mUsed -= mRecentlyUsed.back().mTokens;
    mIndex.erase(mRecentlyUsed.back().mKey);
    mRecentlyUsed.pop_back();
  }
}

void PromptCacheEstimate::Clear()
{
  mRecentlyUsed.clear();
  mIndex.clear();
  mUsed = 0;
}

EndpointLoad::RequestHandle EndpointLoad::OnSent(std::int64_t aPrefillTokens)
{
  mRequests[++mLastHandle] = { aPrefillTokens, false };
  mPendingPrefillTokens += aPrefillTokens;
  mHasGotPrompts = mHasGotPrompts || aPrefillTokens > 0;
  return mLastHandle;
}

bool EndpointLoad::OnStarted(RequestHandle aHandle)
{
  const auto it = mRequests.find(aHandle);
  if (it == mRequests.end() || it->second.mHasStarted) {
    return false;
  }
  it->second.mHasStarted = true;
  mPendingPrefillTokens -= it->second.mPrefillTokens;
  return true;
}

void EndpointLoad::OnEnded(RequestHandle aHandle)
{
  OnStarted(aHandle);
  mRequests.erase(aHandle);
}

void EndpointLoad::OnReportedLoad(const ReportedLoad& aReport, TimePoint aNow)
{
  mReportedLoad = aReport;
  mOwnAtReport = InFlight();
  mReportedAt = aNow;
  const DatedLoad dated{ aReport.mRunning + aReport.mWaiting, aReport.mPacePercent, aNow };
  OnPeerReportedLoad(dated);
  if (mHasGotPrompts) {
    mUntakenReport = dated;
  }
}

void EndpointLoad::OnPeerReportedLoad(const DatedLoad& aReport)
{
  const auto others = std::max<std::int64_t>(0, aReport.mRequests - InFlight());
  mTrend.OnReport(
    { static_cast<double>(aReport.mRequests), static_cast<double>(others), aReport.mPacePercent },
    aReport.mAsOf);
}

std::optional<DatedLoad> EndpointLoad::TakeReport()
{
  return std::exchange(mUntakenReport, std::nullopt);
}

void EndpointLoad::OnPeerPending(const std::string& aPeer, std::int64_t aTokens, TimePoint aNow)
{
  if (aTokens > 0) {
    mPeers[aPeer] = { aTokens, aNow };
  } else {
    mPeers.erase(aPeer);
  }
}

std::int64_t EndpointLoad::PeerPendingTokens(TimePoint aNow) const
{
  std::int64_t out = 0;
  for (const auto& [peer, it] : mPeers) {
    out += aNow - it.mReportedAt < kMaxPeerPendingAge ? it.mTokens : 0;
  }
  return out;
}

void EndpointLoad::OnOutcome(bool aFailed, TimePoint aNow)
{
  mFailureShare = (1 - kOutcomeWeight) * mFailureShare + (aFailed ? kOutcomeWeight : 0);
  if (!aFailed) {
    mConsecutiveFailures = 0;
    mSuspensions = mFailureShare < kOutcomeWeight ? 0 : mSuspensions;
    return;
  }
  ++mConsecutiveFailures;
  if (mConsecutiveFailures >= kFailuresToSuspend || mFailureShare > kSuspendingFailureShare) {
    mSuspendedUntil = aNow + kFirstSuspension * (1 << std::min(mSuspensions++, kMaxDoublings));
    mConsecutiveFailures = 0;
    mFailureShare = 0;
  }
}

void EndpointLoad::OnLatency(double aRatio, TimePoint aNow)
{
  mSlowdownFactor =
    (1 - kLatencyWeight) * SlowdownFactor(aNow) + kLatencyWeight * std::max(1.0, aRatio);
  mSlowdownUpdatedAt = aNow;
}

double EndpointLoad::Running(TimePoint aNow) const
{
  const auto own = static_cast<double>(InFlight());
  if (aNow - mReportedAt > kMaxReportedLoadAge) {
    return own;
  }
  const auto others =
    static_cast<double>(mReportedLoad.mRunning + mReportedLoad.mWaiting - mOwnAtReport);
  return own + std::max(0.0, others);
}

double EndpointLoad::SlowdownFactor(TimePoint aNow) const
{
  const double passed = std::chrono::duration<double>(aNow - mSlowdownUpdatedAt).count();
  return 1 + (mSlowdownFactor - 1) * std::exp2(-passed / kSlowdownHalfLifeSeconds);
}

} // namespace gentianloom
