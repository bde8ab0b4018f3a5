#include "gentianloom/routing/FairQueue.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Head start of one step of priority, in estimated tokens.
constexpr double kHeadStartTokens = 20'000;
constexpr std::int64_t kMaxPriority = 10;

/// Number of flows above which idle ones are removed. A flow whose virtual start is later than the
/// virtual time is kept, because without it the next request of the organisation would start
/// earlier.
constexpr std::size_t kMaxIdleFlows = 1'024;

double Weight(std::int64_t aWeight)
{
  return static_cast<double>(std::max<std::int64_t>(1, aWeight));
}

} // namespace

std::optional<std::uint64_t> FairQueue::Push(QueuedRequest aRequest)
{
  auto& flow = mFlows[aRequest.mOrganisation];
  if (flow.mWaiting.empty()) {
    flow.mVirtualStart = std::max(mVirtualTime, flow.mVirtualStart);
  }
  flow.mWeight = aRequest.mWeight;
  flow.mPriority = std::clamp<std::int64_t>(aRequest.mPriority, 0, kMaxPriority);
  flow.mCost += static_cast<double>(aRequest.mCost);
  const OrderKey order{ aRequest.mDeadline, aRequest.mId };
  flow.mWaiting.emplace(order, std::move(aRequest));
  ++mSize;
  if (mSize <= mCapacity) {
    return std::nullopt;
  }
  const auto largest =
    std::max_element(mFlows.begin(), mFlows.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.second.mCost / Weight(aLeft.second.mWeight) <
             aRight.second.mCost / Weight(aRight.second.mWeight);
    });
  return Extract(largest, std::prev(largest->second.mWaiting.end())).mId;
}

FairQueue::Flows::const_iterator FairQueue::NextFlow() const
{
  auto best = mFlows.end();
  double bestTag = 0;
  for (auto it = mFlows.begin(); it != mFlows.end(); ++it) {
    if (it->second.mWaiting.empty()) {
      continue;
    }
    const double headStart = kHeadStartTokens * static_cast<double>(it->second.mPriority);
    const double tag = it->second.mVirtualStart - headStart;
    if (best == mFlows.end() || tag < bestTag) {
      best = it;
      bestTag = tag;
    }
  }
  return best;
}

std::optional<QueuedRequest> FairQueue::Peek() const
{
  const auto it = NextFlow();
  return it == mFlows.end() ? std::nullopt
                            : std::optional<QueuedRequest>(it->second.mWaiting.begin()->second);
}

void FairQueue::Pop()
{
  const auto next = NextFlow();
  if (next == mFlows.end()) {
    return;
  }
  const auto it = mFlows.find(next->first);
  const auto taken = Extract(it, it->second.mWaiting.begin());
  it->second.mVirtualStart += static_cast<double>(taken.mCost) / Weight(it->second.mWeight);
  AdvanceVirtualTime();
  RemoveIdleFlows();
}

void FairQueue::AdvanceVirtualTime()
{
  std::optional<double> minStart;
  for (const auto& [name, flow] : mFlows) {
    if (!flow.mWaiting.empty()) {
      minStart = minStart ? std::min(*minStart, flow.mVirtualStart) : flow.mVirtualStart;
    }
  }
  // If the queue is empty, the virtual time advances to the last finish time, so that an idle
  // organisation does not accumulate credit.
  for (const auto& [name, flow] : mFlows) {
    if (!minStart && flow.mVirtualStart > mVirtualTime) {
      mVirtualTime = flow.mVirtualStart;
    }
  }
  mVirtualTime = std::max(mVirtualTime, minStart.value_or(mVirtualTime));
}

QueuedRequest FairQueue::Extract(Flows::iterator aFlow,
                                 std::map<OrderKey, QueuedRequest>::iterator aRequest)
{
  auto out = std::move(aRequest->second);
  aFlow->second.mCost -= static_cast<double>(out.mCost);
  aFlow->second.mWaiting.erase(aRequest);
  --mSize;
  return out;
}

void FairQueue::RemoveIdleFlows()
{
  if (mFlows.size() <= kMaxIdleFlows) {
    return;
  }
  std::erase_if(mFlows, [&](const auto& it) {
    return it.second.mWaiting.empty() && it.second.mVirtualStart <= mVirtualTime;
  });
}

bool FairQueue::Remove(std::uint64_t aId)
{
  for (auto flow = mFlows.begin(); flow != mFlows.end(); ++flow) {
    auto& waiting = flow->second.mWaiting;
    const auto it = std::find_if(
      waiting.begin(), waiting.end(), [&](const auto& aEntry) { return aEntry.first.mId == aId; });
    if (it != waiting.end()) {
      Extract(flow, it);
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest> FairQueue::RemoveExpired(TimePoint aNow,
                                                    Micros aServiceTime,
                                                    Micros aMaxWait)
{
  std::vector<QueuedRequest> out;
  for (auto flow = mFlows.begin(); flow != mFlows.end(); ++flow) {
    auto& waiting = flow->second.mWaiting;
    for (auto it = waiting.begin(); it != waiting.end();) {
      const auto next = std::next(it);
      const auto& request = it->second;
      if (aNow + aServiceTime > request.mDeadline ||
          aNow - request.mArrived > std::min(aMaxWait, request.mMaxWait)) {
        out.push_back(Extract(flow, it));
      }
      it = next;
    }
  }
  return out;
}

double FairQueue::CostAhead(const QueuedRequest& aRequest) const
{
  double own = 0;
  const auto flow = mFlows.find(aRequest.mOrganisation);
  if (flow != mFlows.end()) {
    for (const auto& [order, it] : flow->second.mWaiting) {
      if (order.mDeadline > aRequest.mDeadline) {
        break;
      }
      own += static_cast<double>(it.mCost);
    }
  }
  double out = own;
  // Cost per unit of weight that each organisation is served until the request is.
  const double costPerWeight =
    (own + static_cast<double>(aRequest.mCost)) / Weight(aRequest.mWeight);
  for (const auto& [name, it] : mFlows) {
    if (name != aRequest.mOrganisation) {
      out += std::min(it.mCost, costPerWeight * Weight(it.mWeight));
    }
  }
  return out;
}

} // namespace gentianloom
