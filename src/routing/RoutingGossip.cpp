#include "gentianloom/routing/RoutingGossip.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Most pieces of news of one kind in a message, the youngest first.
constexpr std::size_t kMostCarried = 64;

template<typename R, typename T>
void Carry(R& aRumours, std::vector<T> aNews, std::vector<T>& aOut, TimePoint aNow)
{
  std::erase_if(aRumours,
                [&](const auto& it) { return aNow - it.mSince > RoutingGossip::kCarried; });
  for (auto& it : aNews) {
    aRumours.push_back({ aNow, std::move(it) });
  }
  const auto count = std::min(kMostCarried, aRumours.size());
  for (auto it = aRumours.end() - static_cast<std::ptrdiff_t>(count); it != aRumours.end(); ++it) {
    auto news = it->mNews;
    news.ageMs += std::chrono::duration_cast<Millis>(aNow - it->mSince).count();
    aOut.push_back(std::move(news));
  }
}

} // namespace

void RoutingGossip::AddTo(wire::Gossip& aGossip)
{
  const auto now = mClock.Now();
  const std::lock_guard lock(mMutex);
  Carry(mCrashes, mGuard.TakeNews(), aGossip.crashes, now);
  Carry(mStandings, mEndpoints.TakeEndpointNews(), aGossip.endpoints, now);
}

void RoutingGossip::OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& /*aSender*/)
{
  for (const auto& it : aGossip.crashes) {
    mGuard.Learn(it);
  }
  for (const auto& it : aGossip.endpoints) {
    mEndpoints.Learn(it);
  }
}

} // namespace gentianloom
