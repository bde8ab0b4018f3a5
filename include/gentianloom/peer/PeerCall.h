#ifndef GENTIANLOOM_PEER_PEER_CALL_H
#define GENTIANLOOM_PEER_PEER_CALL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <functional>
#include <string>

namespace gentianloom::wire {
class PeerClient;
}

namespace gentianloom {

/**
 * @brief Makes one call to another router on a new connection.
 *
 * @code
 * wire::RightsAnswer answer;
 * auto result = CallPeer(address, Millis(200), Step::TransferAsk,
 *                        [&](wire::PeerClient& it) { it.AskRights(answer, request); });
 * @endcode
 *
 * @param aAddress `IP:PORT` of the peer server
 * @param aTimeout for each of connect, send and receive
 * @param aStep step to set in errors
 * @param aCall function that makes the call on the connected client
 * @return ErrorCode::PeerUnavailable if the call failed; the peer may have executed it
 *         nevertheless; ErrorCode::BadSettings if the address is malformed
 */
Result<void> CallPeer(const std::string& aAddress,
                      Millis aTimeout,
                      Step aStep,
                      const std::function<void(wire::PeerClient&)>& aCall);

} // namespace gentianloom

#endif
