#ifndef GENTIANLOOM_NET_HTTP_SERVICE_H
#define GENTIANLOOM_NET_HTTP_SERVICE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpHead.h"

#include <functional>
#include <string>

namespace gentianloom::net {

/// Answer of a small service.
struct ServiceReply
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody{};
};

using ServiceHandler = std::function<ServiceReply(const RequestHead&)>;
using ChannelHandler = std::function<void(Channel::Ptr)>;

/**
 * @brief Listens on an address and hands each connection on, until the loop ends.
 * @return ErrorCode::BadSettings if the address cannot be taken
 */
Result<void> Listen(Loop& aLoop, const Channel::Address& aAddress, ChannelHandler aHandler);

/**
 * @brief Serves small calls without state, such as readiness, address lists and metrics.
 * @param aHandler called for each whole request
 * @return ErrorCode::BadSettings if the address cannot be taken
 */
Result<void> ServeHttp(Loop& aLoop, const Channel::Address& aAddress, ServiceHandler aHandler);

} // namespace gentianloom::net

#endif
