#include "gentianloom/net/ResponseEnd.h"

#include <algorithm>

namespace gentianloom::net {

Micros TimeUntilResponseEnd(const Channel& aChannel, const ResponseParser& aParser)
{
  if (aChannel.State() != ChannelState::PeerClosed) {
    return Micros::max();
  }
  if (aParser.BodyFraming() != Framing::UntilClose || aChannel.Unsent() == 0) {
    return Micros(0);
  }
  return std::max(Micros(0), kMaxResetDelay - aChannel.TimeSincePeerClosed());
}

} // namespace gentianloom::net
