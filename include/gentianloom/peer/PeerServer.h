#ifndef GENTIANLOOM_PEER_PEER_SERVER_H
#define GENTIANLOOM_PEER_PEER_SERVER_H

#include "gentianloom/base/Error.h"
#include "gentianloom/peer/PeerHandlers.h"

#include <memory>
#include <string>

namespace gentianloom {

/**
 * @brief Serves Thrift calls of other routers, with one thread per connection.
 */
class PeerServer
{
public:
  /**
   * @brief Starts listening and serving.
   * @param aListen `IP:PORT`; with port 0, the system chooses a port
   * @param aMaxConnections further connections wait until one is closed
   * @return the server, or ErrorCode::BadSettings if it cannot listen
   */
  static Result<std::unique_ptr<PeerServer>> Start(const std::string& aListen,
                                                   const PeerHandlers& aHandlers,
                                                   int aMaxConnections);
  ~PeerServer();

  /// @brief Returns the address that the server listens on, with the actual port.
  const std::string& Address() const;

private:
  struct State;
  explicit PeerServer(std::unique_ptr<State> aState);

  std::unique_ptr<State> mState;
};

} // namespace gentianloom

#endif
