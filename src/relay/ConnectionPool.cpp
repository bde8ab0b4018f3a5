#include "gentianloom/relay/ConnectionPool.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom {

namespace {

std::uint32_t HashOf(std::string_view aRequestId)
{
  return static_cast<std::uint32_t>(StableHash(aRequestId));
}

} // namespace

void EndpointConnection::OnRequest(std::string_view aRequestId)
{
  mRequests.push_back(HashOf(aRequestId));
}

bool EndpointConnection::MayCarry(std::string_view aRequestId) const
{
  const auto hash = HashOf(aRequestId);
  return MayBeReused() && std::find(mRequests.begin(), mRequests.end(), hash) == mRequests.end();
}

ConnectionPool::~ConnectionPool()
{
  while (!mIdle.empty()) {
    CloseIdle(std::string(mIdle.begin()->first));
  }
}

bool ConnectionPool::IsReusable(const IdleConnection& aConnection) const
{
  const auto& channel = *aConnection.mConnection;
  return channel.IsUsable() && channel.Received().empty() && mClock.Now() < aConnection.mExpiresAt;
}

EndpointConnection ConnectionPool::Take(const std::string& aEndpoint,
                                        std::string_view aRequestId,
                                        Millis aMaxIdleTime)
{
  const auto entry = mIdle.find(aEndpoint);
  if (entry == mIdle.end()) {
    return {};
  }
  // Connections are appended on return, so the last one was used most recently.
  auto& connections = entry->second;
  for (auto n = connections.size(); n > 0; --n) {
    const auto it = connections.begin() + static_cast<std::ptrdiff_t>(n - 1);
    if (!IsReusable(*it)) {
      it->mConnection->Close();
      connections.erase(it);
      continue;
    }
    if (mClock.Now() - it->mIdleSince > aMaxIdleTime) {
      break; // so have been all others
    }
    if (it->mConnection.MayCarry(aRequestId)) {
      auto out = std::move(it->mConnection);
      connections.erase(it);
      return out;
    }
  }
  return {};
}

void ConnectionPool::Put(const std::string& aEndpoint,
                         EndpointConnection aConnection,
                         Millis aMaxIdleTime)
{
  aConnection->SetListener(nullptr);
  const auto now = mClock.Now();
  mIdle[aEndpoint].push_back({ std::move(aConnection), now, now + aMaxIdleTime });
}

void ConnectionPool::CloseIdle(const std::string& aEndpoint)
{
  const auto entry = mIdle.find(aEndpoint);
  if (entry == mIdle.end()) {
    return;
  }
  for (const auto& it : entry->second) {
    it.mConnection->Close();
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
      aConnection.mConnection->Close();
      return true;
    });
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

} // namespace gentianloom
