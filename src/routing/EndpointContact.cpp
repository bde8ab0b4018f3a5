#include "gentianloom/routing/EndpointContact.h"

namespace gentianloom {

bool EndpointContact::OnNoneReached(std::uint64_t aConnectionsBefore)
{
  if (mIsLost || mConnections != aConnectionsBefore) {
    return false;
  }
  mIsLost = true;
  return true;
}

} // namespace gentianloom
