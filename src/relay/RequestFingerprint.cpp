#include "gentianloom/relay/RequestFingerprint.h"

#include "gentianloom/base/Ids.h"

#include <array>
#include <cstdio>

namespace gentianloom {

std::string MakeRequestFingerprint(std::string_view aOrganisation,
                                   std::string_view aPath,
                                   std::string_view aBody)
{
  // Each hash is the seed of the next, so that bytes moved from one field to the next change it.
  const auto hash = StableHash(aBody, StableHash(aPath, StableHash(aOrganisation)));
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(hash));
  return buf.data();
}

} // namespace gentianloom
