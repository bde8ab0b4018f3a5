#include "gentianloom/membership/EntryPoints.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gentianloom {

namespace {

struct RankedMember
{
  const wire::MemberNews* mMember = nullptr;
  bool mIsFull = false;
  std::uint64_t mScore = 0;
};

std::vector<RankedMember> RankMembers(std::span<const wire::MemberNews> aMembers,
                                      std::string_view aOrganisation)
{
  const auto seed = StableHash(aOrganisation);
  std::vector<RankedMember> out;
  for (const auto& it : aMembers) {
    if (it.standing != wire::Standing::ALIVE || it.callerAddress.empty()) {
      continue;
    }
    out.push_back({ &it, it.loadPermille >= kFullLoadPermille, StableHash(it.name, seed) });
  }
  std::sort(out.begin(), out.end(), [](const RankedMember& aLeft, const RankedMember& aRight) {
    return std::tuple(aLeft.mIsFull, aRight.mScore, std::string_view(aLeft.mMember->name)) <
           std::tuple(aRight.mIsFull, aLeft.mScore, std::string_view(aRight.mMember->name));
  });
  return out;
}

} // namespace

std::vector<std::string> ChooseEntryPoints(std::span<const wire::MemberNews> aMembers,
                                           std::string_view aOrganisation,
                                           std::string_view aZone)
{
  const auto ranked = RankMembers(aMembers, aOrganisation);
  std::vector<const wire::MemberNews*> chosen;
  std::set<std::string_view> zones;
  for (const auto& it : ranked) { // the best router of each zone
    if (zones.insert(it.mMember->zone).second) {
      chosen.push_back(it.mMember);
    }
  }
  std::stable_partition(
    chosen.begin(), chosen.end(), [&](const auto* it) { return it->zone == aZone; });
  for (const auto& it : ranked) { // with few zones, fill up by rank
    if (chosen.size() >= kMaxEntryPoints) {
      break;
    }
    if (std::find(chosen.begin(), chosen.end(), it.mMember) == chosen.end()) {
      chosen.push_back(it.mMember);
    }
  }
  std::vector<std::string> out;
  for (const auto* it : chosen) {
    if (out.size() < kMaxEntryPoints) {
      out.push_back(it->callerAddress);
    }
  }
  return out;
}

} // namespace gentianloom
