#ifndef GENTIANLOOM_NET_RESPONSE_END_H
#define GENTIANLOOM_NET_RESPONSE_END_H

#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpParser.h"

namespace gentianloom::net {

/// Time within which the reset of a server that has ended arrives: a few round trips of a busy
/// link. A server that only stops reading sends none.
inline constexpr Millis kMaxResetDelay{ 500 };

/**
 * @brief Returns the time until no more of a response can follow because the peer has closed its
 * side; zero if that is so, Micros::max() if the peer has not.
 *
 * While the request is still being written, the end of a body that ends with the connection may be
 * a reset: the write that fails takes the error, and a read after it returns the end of the stream.
 * Such a body is complete once the request was written, or no reset came for kMaxResetDelay.
 */
Micros TimeUntilResponseEnd(const Channel& aChannel, const ResponseParser& aParser);

} // namespace gentianloom::net

#endif
