#include "gentianloom/gateway/LatestDatagrams.h"

#include <utility>

namespace gentianloom {

bool LatestDatagrams::Put(const Address& aSender, std::string_view aBytes, TimePoint aArrivedAfter)
{
  const auto known = mDatagrams.find(aSender);
  if (known != mDatagrams.end()) {
    known->second.mBytes.assign(aBytes);
    known->second.mArrivedAfter = aArrivedAfter;
    return false;
  }
  if (mDatagrams.size() >= kMaxSenders) {
    return false;
  }
  mDatagrams.emplace(aSender, Datagram{ aSender, std::string(aBytes), aArrivedAfter });
  mOrder.push_back(aSender);
  return true;
}

std::optional<LatestDatagrams::Datagram> LatestDatagrams::Take()
{
  if (mOrder.empty()) {
    return std::nullopt;
  }
  const auto it = mDatagrams.find(mOrder.front());
  mOrder.pop_front();
  auto out = std::move(it->second);
  mDatagrams.erase(it);
  return out;
}

} // namespace gentianloom
