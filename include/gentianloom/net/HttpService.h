#ifndef GENTIANLOOM_NET_HTTP_SERVICE_H
#define GENTIANLOOM_NET_HTTP_SERVICE_H

#include "gentianloom/base/Error.h"
#include "gentianloom/net/Channel.h"
#include "gentianloom/net/HttpHead.h"
#include "gentianloom/net/HttpParser.h"

#include <functional>
#include <optional>
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

/// How a listener accepts connections.
struct ListenOptions
{
  /// Account of what callers hold, or null for none. If it has no room for a connection, the
  /// connection is closed.
  CallerMemory* mMemory = nullptr;
  std::size_t mMaxReceivedBytes = kMaxReceivedBytes; ///< see Channel::Accepted()
  std::optional<int> mBacklog{};                     ///< unset: what the system allows
  /// Returns the time until the next connection may be accepted; empty: always zero.
  std::function<Micros()> mTimeUntilAccept{};
};

/**
 * @brief Listens on an address and passes each accepted connection to a handler.
 *
 * Accepts connections until the event loop stops.
 *
 * @return ErrorCode::BadSettings if the socket cannot be bound to the address
 */
Result<void> Listen(Loop& aLoop,
                    const Channel::Address& aAddress,
                    ListenOptions aOptions,
                    ChannelHandler aHandler);

/**
 * @brief Serves simple HTTP requests such as readiness checks, address lists and metrics.
 * Responses are produced once the caller has taken the previous one. A body may have a few KiB.
 *
 * @param aMemory account of what callers hold, or null for none
 * @param aHandler returns the response to a complete request; it sees the head only and must not
 *   block
 * @return ErrorCode::BadSettings if the socket cannot be bound to the address
 */
Result<void> ServeHttp(Loop& aLoop,
                       const Channel::Address& aAddress,
                       CallerMemory* aMemory,
                       ServiceHandler aHandler);

/// @brief Queues a response without a body and closes the connection once it is sent.
/// @param aHead further headers of the response
void RespondAndClose(Channel& aChannel, ResponseHead aHead);

/// @brief Head of the refusal of a request that has not run because callers hold too much.
ResponseHead MakeMemoryRefusal();

/// @brief Status of the response to a request that was rejected by the parser.
int StatusForFault(ParseFault aFault);

} // namespace gentianloom::net

#endif
