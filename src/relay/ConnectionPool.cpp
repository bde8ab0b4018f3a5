#include "gentianloom/relay/ConnectionPool.h"

namespace gentianloom {

ConnectionPool::~ConnectionPool()
{
  while (!mIdle.empty()) {
    CloseIdle(std::string(mIdle.begin()->first));
  }
}

bool ConnectionPool::IsReusable(const IdleConnection& aConnection) const
{
  return aConnection.mChannel->IsUsable() && aConnection.mChannel->Received().empty() &&
         mClock.Now() < aConnection.mExpiresAt;
}

net::Channel::Ptr ConnectionPool::Take(const std::string& aEndpoint, Millis aMaxIdleTime)
{
  const auto entry = mIdle.find(aEndpoint);
  if (entry == mIdle.end()) {
    return nullptr;
  }
  auto& connections = entry->second;
  while (!connections.empty()) {
    // Connections are appended on return, so the last one was used most recently. If it has been
    // idle for too long, so have all others.
    if (IsReusable(connections.back()) &&
        mClock.Now() - connections.back().mIdleSince > aMaxIdleTime) {
      return nullptr;
    }
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (IsReusable(connection)) {
      return connection.mChannel;
    }
    connection.mChannel->Close();
  }
  return nullptr;
}

void ConnectionPool::Put(const std::string& aEndpoint,
                         net::Channel::Ptr aChannel,
                         Millis aMaxIdleTime)
{
  aChannel->SetListener(nullptr);
  const auto now = mClock.Now();
  mIdle[aEndpoint].push_back({ std::move(aChannel), now, now + aMaxIdleTime });
}

void ConnectionPool::CloseIdle(const std::string& aEndpoint)
{
  const auto entry = mIdle.find(aEndpoint);
  if (entry == mIdle.end()) {
    return;
  }
  for (const auto& it : entry->second) {
    it.mChannel->Close();
  }
  mIdle.erase(entry);
}

void ConnectionPool::Prune()
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second, [this](const IdleConnection& aConnection) {
      if (IsReusable(aConnection)) {
        return false;
      }
      aConnection.mChannel->Close();
      return true;
    });
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

} // namespace gentianloom
