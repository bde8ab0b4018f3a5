#include "gentianloom/routing/RoutingGossip.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Maximum number of items of one kind in a message; the newest are sent.
constexpr std::size_t kMaxItemsPerMessage = 64;

/// Removes expired items, adds new ones and appends the newest to a message, with their ages at
/// aNow.
template<typename R, typename T>
void UpdateAndAppendItems(R& aItems,
                          std::vector<T> aNewItems,
                          std::vector<T>& aMessageItems,
                          TimePoint aNow)
{
  std::erase_if(aItems, [&](const auto& aItem) {
    return aNow - aItem.mAddedAt > RoutingGossip::kResendPeriod;
  });
  for (auto& newItem : aNewItems) {
    aItems.push_back({ aNow, std::move(newItem) });
  }
  const auto count = std::min(kMaxItemsPerMessage, aItems.size());
  for (auto it = aItems.end() - static_cast<std::ptrdiff_t>(count); it != aItems.end(); ++it) {
    auto item = it->mItem;
    item.ageMs += std::chrono::duration_cast<Millis>(aNow - it->mAddedAt).count();
    aMessageItems.push_back(std::move(item));
  }
}

} // namespace

void RoutingGossip::AddTo(wire::Gossip& aGossip)
{
  const auto now = mClock.Now();
  const std::lock_guard lock(mMutex);
  UpdateAndAppendItems(mCrashes, mGuard.TakeObservations(), aGossip.crashes, now);
  UpdateAndAppendItems(mStateChanges, mEndpoints.TakeStateChanges(), aGossip.endpoints, now);
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
