#include "gentianloom/routing/EndpointContact.h"

#include <utility>

namespace gentianloom {

bool EndpointContact::OnNoneReached(std::uint64_t aConnectionsBefore, TimePoint aNow)
{
  if (mIsLost || mConnections != aConnectionsBefore) {
    return false;
  }
  mIsLost = true;
  if (IsSilent(aNow)) {
    for (auto* it : std::exchange(mListeners, {})) {
      it->OnContactLost();
    }
  }
  return true;
}

} // namespace gentianloom
