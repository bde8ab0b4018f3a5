#include "gentianloom/relay/StreamOrigins.h"

#include "gentianloom/base/Ids.h"

namespace gentianloom {

StreamKey MakeStreamKey(std::string_view aOrganisation, std::string_view aRequest)
{
  return StableHash(aRequest, StableHash(aOrganisation));
}

} // namespace gentianloom
