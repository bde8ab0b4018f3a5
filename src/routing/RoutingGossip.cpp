#include "gentianloom/routing/RoutingGossip.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Maximum number of items of one kind in a message; the newest are sent.
constexpr std::size_t kMaxItemsPerMessage = 64;

template<typename R, typename T>
void AppendItems(R& aItems, std::vector<T> aNewItems, std::vector<T>& aOut, TimePoint aNow)
{
  std::erase_if(
    aItems, [&](const auto& it) { return aNow - it.mReceivedAt > RoutingGossip::kResendPeriod; });
  for (auto& it : aNewItems) {
    aItems.push_back({ aNow, std::move(it) });
  }
  const auto count = std::min(kMaxItemsPerMessage, aItems.size());
  for (auto it = aItems.end() - static_cast<std::ptrdiff_t>(count); it != aItems.end(); ++it) {
    auto item = it->mItem;
    item.ageMs += std::chrono::duration_cast<Millis>(aNow - it->mReceivedAt).count();
    aOut.push_back(std::move(item));
  }
}

} // namespace

void RoutingGossip::AddTo(wire::Gossip& aGossip)
{
  const auto now = mClock.Now();
  const std::lock_guard lock(mMutex);
  AppendItems(mCrashes, mGuard.TakeObservations(), aGossip.crashes, now);
  AppendItems(mStateChanges, mEndpoints.TakeStateChanges(), aGossip.endpoints, now);
}

void RoutingGossip::OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& /*aSender*/)
{
  for (const auto& it : aGossip.crashes) {
    mGuard.MergeObservation(it);
  }
  for (const auto& it : aGossip.endpoints) {
    mEndpoints.Update(it);
  }
}

} // namespace gentianloom
