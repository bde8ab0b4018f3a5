#include "gentianloom/routing/EvacuatedZones.h"

#include <algorithm>

namespace gentianloom {

std::vector<std::string> EvacuatedZones::OnSnapshot(std::span<const std::string> aZones,
                                                    bool aIsRestoredFromCopy,
                                                    TimePoint aNow)
{
  std::vector<std::string> out;
  for (auto it = mZones.begin(); it != mZones.end();) {
    if (std::find(aZones.begin(), aZones.end(), it->first) != aZones.end()) {
      ++it;
      continue;
    }
    auto& endsAt = it->second;
    if (aIsRestoredFromCopy && !endsAt) {
      endsAt = aNow + kRewriteGracePeriod;
      out.push_back(it->first);
    }
    // A later snapshot says no more of a key that was lost than the one of the copy.
    it = endsAt ? std::next(it) : mZones.erase(it);
  }
  for (const auto& it : aZones) {
    Put(it);
  }
  return out;
}

void EvacuatedZones::Put(std::string_view aZone)
{
  mZones.insert_or_assign(std::string(aZone), std::nullopt);
}

void EvacuatedZones::Remove(std::string_view aZone)
{
  const auto it = mZones.find(aZone);
  if (it != mZones.end()) {
    mZones.erase(it);
  }
}

void EvacuatedZones::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mZones, [aNow](const auto& it) { return it.second && *it.second <= aNow; });
}

std::vector<std::string> EvacuatedZones::Names() const
{
  std::vector<std::string> out;
  for (const auto& [name, endsAt] : mZones) {
    out.push_back(name);
  }
  return out;
}

} // namespace gentianloom
