#include "gentianloom/routing/AdmissionController.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// Time constant of the moving average of the throughput.
constexpr double kRateWindowSeconds = 2;
/// Time with waiting requests before the throughput is used to estimate waits.
constexpr double kMinBusySeconds = 0.5;
/// Weight of one answer in the mean answer time.
constexpr double kServiceTimeWeight = 0.05;
/// Multiple of the mean answer time that must be left before the deadline.
constexpr double kServiceTimeMargin = 1.2;
/// A request waits at most its whole time divided by this number, so that the caller can still
/// retry elsewhere after a refusal.
constexpr int kMaxWaitDivisor = 4;
constexpr Millis kMinRetryAfter{ 500 };
constexpr Millis kMaxRetryAfter{ 30'000 };

Millis ClampRetryAfter(Millis aWait)
{
  return std::clamp(aWait, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace

Micros AdmissionController::RequiredServiceTime(const Pool& aPool) const
{
  return std::chrono::duration_cast<Micros>(
    std::chrono::duration<double, std::milli>(aPool.mMeanServiceMs * kServiceTimeMargin));
}

Millis AdmissionController::EstimateWait(const Pool& aPool, const QueuedRequest& aRequest) const
{
  if (aPool.mBusySeconds < kMinBusySeconds) {
    return Millis(0);
  }
  // The moving average starts at 0 and is too low at first; this factor corrects the estimate.
  const double warmUpFactor = 1 - std::exp(-aPool.mBusySeconds / kRateWindowSeconds);
  const double seconds = aPool.mQueue.CostAhead(aRequest) * warmUpFactor / aPool.mCostPerSecond;
  return std::chrono::duration_cast<Millis>(std::chrono::duration<double>(seconds));
}

std::vector<ShedRequest> AdmissionController::Enqueue(const std::string& aPool,
                                                      QueuedRequest aRequest,
                                                      TimePoint aNow)
{
  const auto slots = static_cast<std::size_t>(mSettings.mQueueSlots);
  auto& pool = mPools.try_emplace(aPool, slots).first->second;
  const auto wait = EstimateWait(pool, aRequest);
  const auto allowed = (aRequest.mDeadline - aRequest.mArrived) / kMaxWaitDivisor;
  aRequest.mMaxWait = std::min({ aRequest.mMaxWait, Micros(mSettings.mMaxQueueTime), allowed });
  if (aNow + wait + RequiredServiceTime(pool) > aRequest.mDeadline || wait > aRequest.mMaxWait) {
    return { { aRequest.mId, ShedReason::DeadlineUnreachable, ClampRetryAfter(wait) } };
  }
  if (pool.mQueue.Size() == 0) {
    pool.mLastPop = aNow;
  }
  const auto evicted = pool.mQueue.Push(std::move(aRequest));
  if (evicted) {
    return { { *evicted, ShedReason::QueueFull, ClampRetryAfter(wait) } };
  }
  return {};
}

bool AdmissionController::HasQueuedRequests(const std::string& aPool) const
{
  const auto it = mPools.find(aPool);
  return it != mPools.end() && it->second.mQueue.Size() > 0;
}

std::optional<QueuedRequest> AdmissionController::Peek(const std::string& aPool) const
{
  const auto it = mPools.find(aPool);
  return it == mPools.end() ? std::nullopt : it->second.mQueue.Peek();
}

void AdmissionController::Pop(const std::string& aPool, TimePoint aNow)
{
  const auto it = mPools.find(aPool);
  if (it == mPools.end()) {
    return;
  }
  auto& pool = it->second;
  const auto next = pool.mQueue.Peek();
  if (!next) {
    return;
  }
  // Exponentially weighted moving average of the throughput.
  const std::chrono::duration<double> step = aNow - pool.mLastPop;
  pool.mLastPop = aNow;
  pool.mBusySeconds += step.count();
  const double decay = std::exp(-step.count() / kRateWindowSeconds);
  const auto cost = static_cast<double>(next->mCost);
  pool.mCostPerSecond = pool.mCostPerSecond * decay + cost / kRateWindowSeconds;
  pool.mQueue.Pop();
}

bool AdmissionController::Remove(const std::string& aPool, std::uint64_t aId)
{
  const auto it = mPools.find(aPool);
  return it != mPools.end() && it->second.mQueue.Remove(aId);
}

std::vector<ShedRequest> AdmissionController::RemoveExpired(TimePoint aNow)
{
  std::vector<ShedRequest> out;
  for (auto& [name, pool] : mPools) {
    for (const auto& it :
         pool.mQueue.RemoveExpired(aNow, RequiredServiceTime(pool), mSettings.mMaxQueueTime)) {
      const bool deadlineMissed = aNow + RequiredServiceTime(pool) > it.mDeadline;
      out.push_back({ it.mId,
                      deadlineMissed ? ShedReason::DeadlineUnreachable : ShedReason::QueueTimeout,
                      ClampRetryAfter(EstimateWait(pool, it)) });
    }
  }
  return out;
}

void AdmissionController::OnCompleted(const std::string& aPool, Micros aTotal)
{
  const auto slots = static_cast<std::size_t>(mSettings.mQueueSlots);
  auto& pool = mPools.try_emplace(aPool, slots).first->second;
  const double ms = std::chrono::duration<double, std::milli>(aTotal).count();
  pool.mMeanServiceMs = pool.mMeanServiceMs == 0 ? ms
                                                 : (1 - kServiceTimeWeight) * pool.mMeanServiceMs +
                                                     kServiceTimeWeight * ms;
}

std::vector<std::string> AdmissionController::PoolsWithQueuedRequests() const
{
  std::vector<std::string> out;
  for (const auto& [name, pool] : mPools) {
    if (pool.mQueue.Size() > 0) {
      out.push_back(name);
    }
  }
  return out;
}

} // namespace gentianloom
