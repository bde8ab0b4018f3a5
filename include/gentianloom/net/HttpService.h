#ifndef GENTIANLOOM_NET_HTTP_SERVICE_H
#define GENTIANLOOM_NET_HTTP_SERVICE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpHead.h"

#include <functional>
#include <string>

namespace gentianloom::net {

/// Response of a ServiceHandler.
struct ServiceReply
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody{};
};

/// Request to a ServiceHandler.
struct ServiceRequest
{
  const RequestHead& mHead;
  std::string mPeerHost; ///< IP address of the sender; empty if it is not known any more
};

using ServiceHandler = std::function<ServiceReply(const ServiceRequest&)>;
using ChannelHandler = std::function<void(Channel::Ptr)>;

/**
 * @brief Listens on an address and passes each accepted connection to a handler.
 *
 * Accepts connections until the event loop stops.
 *
 * @return ErrorCode::BadSettings if the socket cannot be bound to the address
 */
Result<void> Listen(Loop& aLoop, const Channel::Address& aAddress, ChannelHandler aHandler);

/**
 * @brief Serves simple HTTP requests such as readiness checks, address lists and metrics.
 * @param aHandler returns the response to a complete request; it sees the head only and must not
 *   block
 * @return ErrorCode::BadSettings if the socket cannot be bound to the address
 */
Result<void> ServeHttp(Loop& aLoop, const Channel::Address& aAddress, ServiceHandler aHandler);

} // namespace gentianloom::net

#endif
