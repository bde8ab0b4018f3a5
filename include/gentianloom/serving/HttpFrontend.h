#ifndef GENTIANLOOM_SERVING_HTTP_FRONTEND_H
#define GENTIANLOOM_SERVING_HTTP_FRONTEND_H

#include "gentianloom/base/Error.h"
#include "gentianloom/settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace gentianloom {

/// Handles one request on its connection's thread.
using HttpHandler =
  std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

/**
 * @brief The HTTP server of a router: a thread for each open connection, bounded.
 */
class HttpFrontend
{
public:
  /**
   * @brief Listens and starts serving.
   * @param aListen `IP:PORT`; port 0 lets the system choose
   * @return the server, or ErrorCode::BadSettings if it cannot listen
   */
  static Result<std::unique_ptr<HttpFrontend>> Start(const std::string& aListen,
                                                     const ServingSettings& aSettings,
                                                     HttpHandler aHandler);
  ~HttpFrontend();

  /// @brief Address that it listens on.
  const std::string& Address() const;

  /// @brief Takes no further connections; those open go on.
  void StopAccepting();

private:
  struct State;
  explicit HttpFrontend(std::unique_ptr<State> aState);

  std::unique_ptr<State> mState;
};

} // namespace gentianloom

#endif
