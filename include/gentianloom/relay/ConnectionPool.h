#ifndef GENTIANLOOM_RELAY_CONNECTION_POOL_H
#define GENTIANLOOM_RELAY_CONNECTION_POOL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Channel.h"

#include <map>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Pool of idle keep-alive connections to endpoints.
 *
 * Connections are pooled by endpoint id. A connection is reused only while the endpoint process
 * that accepted it keeps it open.
 */
class ConnectionPool
{
public:
  ConnectionPool(net::Loop& aLoop, const Clock& aClock)
    : mLoop(aLoop)
    , mClock(aClock)
  {
  }
  ~ConnectionPool();

  /**
   * @brief Takes the most recently used idle connection out of the pool.
   * @param aEndpoint id of the endpoint
   * @param aMaxIdleTime longest time for which the connection may have been idle
   * @return a reusable connection, or null if there is none
   */
  net::Channel::Ptr Take(const std::string& aEndpoint, Millis aMaxIdleTime);

  /**
   * @brief Adds a connection whose response has been read completely.
   * @param aEndpoint id of the endpoint
   * @param aChannel the connection
   * @param aMaxIdleTime time after which the connection is no longer reused
   */
  void Put(const std::string& aEndpoint, net::Channel::Ptr aChannel, Millis aMaxIdleTime);

  /// @brief Closes connections that expired, received unexpected bytes or were closed by the peer.
  void Prune();

  /// @brief Closes all idle connections to an endpoint.
  void CloseIdle(const std::string& aEndpoint);

  /// @brief Opens a new connection.
  net::Channel::Ptr Connect(const net::Channel::Address& aAddress) const
  {
    return net::Channel::Connect(mLoop, aAddress);
  }

private:
  struct IdleConnection
  {
    net::Channel::Ptr mChannel;
    TimePoint mIdleSince{};
    TimePoint mExpiresAt{};
  };

  bool IsReusable(const IdleConnection& aConnection) const;

  net::Loop& mLoop;
  const Clock& mClock;
  std::map<std::string, std::vector<IdleConnection>> mIdle; ///< by endpoint id
};

} // namespace gentianloom

#endif
