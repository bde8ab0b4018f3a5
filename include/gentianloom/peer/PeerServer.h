#ifndef GENTIANLOOM_PEER_PEER_SERVER_H
#define GENTIANLOOM_PEER_PEER_SERVER_H

#include "gentianloom/base/Error.h"
#include "gentianloom/peer/PeerHandlers.h"

#include <memory>
#include <string>

namespace gentianloom {

/**
 * @brief Serves calls of other routers over Thrift, a thread for each connection.
 */
class PeerServer
{
public:
  /**
   * @brief Listens and starts serving.
   * @param aListen `IP:PORT`; port 0 lets the system choose
   * @param aMostConnections more callers wait
   * @return the server, or ErrorCode::BadSettings if it cannot listen
   */
  static Result<std::unique_ptr<PeerServer>> Start(const std::string& aListen,
                                                   const PeerHandlers& aHandlers,
                                                   int aMostConnections);
  ~PeerServer();

  /// @brief Address that it listens on.
  const std::string& Address() const;

private:
  struct State;
  explicit PeerServer(std::unique_ptr<State> aState);

  std::unique_ptr<State> mState;
};

} // namespace gentianloom

#endif
