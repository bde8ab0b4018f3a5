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

/// Handles one request on the thread of its connection.
using HttpHandler =
  std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

/**
 * @brief The HTTP server of a router. Runs one thread for each open connection, up to a limit.
 */
class HttpFrontend
{
public:
  /**
   * @brief Starts listening and serving.
   * @param aListen `IP:PORT`; with port 0 the system chooses the port
   * @return the server; ErrorCode::BadSettings if it cannot listen on the address
   */
  static Result<std::unique_ptr<HttpFrontend>> Start(const std::string& aListen,
                                                     const ServingSettings& aSettings,
                                                     HttpHandler aHandler);
  ~HttpFrontend();

  /// @brief The address that the server listens on, as `IP:PORT`.
  const std::string& Address() const;

  /// @brief Accepts no further connections. Open connections are still served.
  void StopAccepting();

private:
  struct State;
  explicit HttpFrontend(std::unique_ptr<State> aState);

  std::unique_ptr<State> mState;
};

} // namespace gentianloom

#endif
