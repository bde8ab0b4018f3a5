#ifndef GENTIANLOOM_RELAY_CONNECTION_POOL_H
#define GENTIANLOOM_RELAY_CONNECTION_POOL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Channel.h"

#include <map>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Idle connections to endpoints, kept for the next request to the same run of an endpoint.
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
   * @brief Takes an idle connection that is still good; null if there is none.
   * @param aMostIdle longest time that it may have been idle
   */
  net::Channel::Ptr Take(const std::string& aEndpoint, Millis aMostIdle);

  /// @brief Keeps a connection on which an answer has just ended. @param aLife how long at most
  void Put(const std::string& aEndpoint, net::Channel::Ptr aChannel, Millis aLife);

  /// @brief Closes connections that were idle for too long, or whose endpoint sent or closed.
  void Prune();

  /// @brief Starts a new connection.
  net::Channel::Ptr Connect(const net::Channel::Address& aAddress) const
  {
    return net::Channel::Connect(mLoop, aAddress);
  }

private:
  struct Idle
  {
    net::Channel::Ptr mChannel;
    TimePoint mSince{};
    TimePoint mUntil{};
  };

  bool IsGood(const Idle& aIdle) const;

  net::Loop& mLoop;
  const Clock& mClock;
  std::map<std::string, std::vector<Idle>> mIdle; ///< by endpoint
};

} // namespace gentianloom

#endif
