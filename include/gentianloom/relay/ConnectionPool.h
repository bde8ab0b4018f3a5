#ifndef GENTIANLOOM_RELAY_CONNECTION_POOL_H
#define GENTIANLOOM_RELAY_CONNECTION_POOL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Channel.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/**
 * @brief A connection to an endpoint, with the requests that it has carried.
 *
 * A faulty endpoint may write a response a second time, where that to a later request is expected.
 * Only the request's id tells them apart, so a connection carries no request with an id that it has
 * carried before: a retry, or a request that its caller or another instance sends again.
 */
class EndpointConnection
{
public:
  /// Requests that one connection carries; what it remembers of them takes 4 bytes each.
  static constexpr std::size_t kMaxRequests = 512;

  EndpointConnection() = default;
  explicit EndpointConnection(net::Channel::Ptr aChannel)
    : mChannel(std::move(aChannel))
  {
  }

  net::Channel& operator*() const { return *mChannel; }
  net::Channel* operator->() const { return mChannel.get(); }
  explicit operator bool() const { return mChannel != nullptr; }

  /// @brief Notes that the connection carries a request with an id.
  void OnRequest(std::string_view aRequestId);

  /// @brief Whether the connection may carry further requests at all.
  bool MayBeReused() const { return mRequests.size() < kMaxRequests; }

  /// @brief Whether the connection may carry a request with an id.
  /// @par Complexity linear in the requests that it has carried
  bool MayCarry(std::string_view aRequestId) const;

private:
  net::Channel::Ptr mChannel;
  std::vector<std::uint32_t> mRequests; ///< hashes of the ids; equal ones keep a request away only
};

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
   * @brief Takes the most recently used idle connection that may carry a request out of the pool.
   * @param aEndpoint id of the endpoint
   * @param aRequestId id of the request
   * @param aMaxIdleTime longest time for which the connection may have been idle
   * @return a reusable connection, or an empty one if there is none
   */
  EndpointConnection Take(const std::string& aEndpoint,
                          std::string_view aRequestId,
                          Millis aMaxIdleTime);

  /**
   * @brief Adds a connection whose response has been read completely.
   * @param aEndpoint id of the endpoint
   * @param aConnection the connection
   * @param aMaxIdleTime time after which the connection is no longer reused
   */
  void Put(const std::string& aEndpoint, EndpointConnection aConnection, Millis aMaxIdleTime);

  /// @brief Closes connections that expired, received unexpected bytes or were closed by the peer.
  void Prune();

  /// @brief Closes all idle connections to an endpoint.
  void CloseIdle(const std::string& aEndpoint);

  /// @brief Opens a new connection.
  EndpointConnection Connect(const net::Channel::Address& aAddress) const
  {
    return EndpointConnection(net::Channel::Connect(mLoop, aAddress));
  }

private:
  struct IdleConnection
  {
    EndpointConnection mConnection;
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
