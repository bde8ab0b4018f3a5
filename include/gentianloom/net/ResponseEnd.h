#ifndef GENTIANLOOM_NET_RESPONSE_END_H
#define GENTIANLOOM_NET_RESPONSE_END_H

#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpParser.h"

namespace gentianloom::net {

/**
 * @brief Whether no more of a response can follow because the peer has closed its side.
 *
 * A body that ends with the connection is complete only once the whole request was written. Until
 * then the end of the stream may be a reset: the write that fails takes the error, and a read after
 * it returns the end of the stream.
 */
inline bool IsResponseOver(const Channel& aChannel, const ResponseParser& aParser)
{
  if (aChannel.State() != ChannelState::PeerClosed) {
    return false;
  }
  return aParser.BodyFraming() != Framing::UntilClose || aChannel.Unsent() == 0;
}

} // namespace gentianloom::net

#endif
