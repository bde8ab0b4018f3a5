#include "gentianloom/gateway/StreamOriginTable.h"

namespace gentianloom {

void StreamOriginTable::Put(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow)
{
  mEntries[aStream] = { aOrigin, aNow };
  mByAge.emplace_back(aNow, aStream);
  while (mByAge.size() > kMaxEntries || aNow - mByAge.front().first > kRetention) {
    DropOldest();
  }
}

void StreamOriginTable::DropOldest()
{
  const auto [putAt, stream] = mByAge.front();
  mByAge.pop_front();
  const auto it = mEntries.find(stream);
  if (it != mEntries.end() && it->second.mPutAt == putAt) {
    mEntries.erase(it);
  }
}

std::optional<StreamOrigin> StreamOriginTable::Find(StreamKey aStream, TimePoint aNow) const
{
  const auto it = mEntries.find(aStream);
  if (it == mEntries.end() || aNow - it->second.mPutAt > kRetention) {
    return std::nullopt;
  }
  return it->second.mOrigin;
}

} // namespace gentianloom
