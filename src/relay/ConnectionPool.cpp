#include "gentianloom/relay/ConnectionPool.h"

namespace gentianloom {

ConnectionPool::~ConnectionPool()
{
  for (const auto& [endpoint, list] : mIdle) {
    for (const auto& it : list) {
      it.mChannel->Close();
    }
  }
}

bool ConnectionPool::IsGood(const Idle& aIdle) const
{
  return aIdle.mChannel->IsUsable() && aIdle.mChannel->Received().empty() &&
         mClock.Now() < aIdle.mUntil;
}

net::Channel::Ptr ConnectionPool::Take(const std::string& aEndpoint, Millis aMostIdle)
{
  const auto found = mIdle.find(aEndpoint);
  if (found == mIdle.end()) {
    return nullptr;
  }
  auto& list = found->second;
  while (!list.empty()) {
    // The last one was used most recently.
    if (IsGood(list.back()) && mClock.Now() - list.back().mSince > aMostIdle) {
      return nullptr;
    }
    auto it = std::move(list.back());
    list.pop_back();
    if (IsGood(it)) {
      return it.mChannel;
    }
    it.mChannel->Close();
  }
  return nullptr;
}

void ConnectionPool::Put(const std::string& aEndpoint, net::Channel::Ptr aChannel, Millis aLife)
{
  aChannel->SetListener(nullptr);
  const auto now = mClock.Now();
  mIdle[aEndpoint].push_back({ std::move(aChannel), now, now + aLife });
}

void ConnectionPool::Prune()
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second, [this](const Idle& aIdle) {
      if (IsGood(aIdle)) {
        return false;
      }
      aIdle.mChannel->Close();
      return true;
    });
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

} // namespace gentianloom
