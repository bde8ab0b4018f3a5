#include "gentianloom/relay/RequestFingerprint.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace gentianloom {

namespace {

std::string ToHex(std::uint64_t aNumber)
{
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(aNumber));
  return buf.data();
}

} // namespace

std::string MakeRequestFingerprint(std::string_view aOrganisation,
                                   std::string_view aPath,
                                   std::string_view aBody)
{
  // Each hash is the seed of the next, so that bytes moved from one field to the next change it.
  const auto hash = StableHash(aBody, StableHash(aPath, StableHash(aOrganisation)));
  return ToHex(hash);
}

std::vector<std::string> MakeCrashKeys(std::string aFingerprint, std::span<const PromptPart> aParts)
{
  std::vector<std::string> out = { std::move(aFingerprint) };
  if (aParts.empty()) {
    return out;
  }
  const auto n = std::min(aParts.size() - 1, kMaxCrashParts);
  std::set<std::uint64_t> known;
  for (const auto& it : aParts.first(n)) {
    if (known.insert(it.mId).second) {
      out.push_back("part-" + ToHex(it.mId));
    }
  }
  return out;
}

} // namespace gentianloom
