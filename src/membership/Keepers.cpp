#include "gentianloom/membership/Keepers.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <utility>

namespace gentianloom {

std::vector<std::string> ChooseKeepers(std::uint64_t aSubject,
                                       std::vector<std::string> aInstances,
                                       std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(aInstances.size());
  for (auto& it : aInstances) {
    const auto rank = StableHash(it, aSubject);
    ranked.emplace_back(rank, std::move(it));
  }
  const auto n = std::min(aCount, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(n);
  std::partial_sort(ranked.begin(), end, ranked.end());
  std::vector<std::string> out;
  out.reserve(n);
  for (auto it = ranked.begin(); it != end; ++it) {
    out.push_back(std::move(it->second));
  }
  return out;
}

} // namespace gentianloom
