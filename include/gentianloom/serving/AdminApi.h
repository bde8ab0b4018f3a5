#ifndef GENTIANLOOM_SERVING_ADMIN_API_H
#define GENTIANLOOM_SERVING_ADMIN_API_H

#include "gentianloom/serving/AdminHandler.h"

#include <memory>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Serves the administration API below `/admin/v1/`.
 *
 * Authenticates the operator by the bearer key, then passes the request to the first handler that
 * accepts it.
 * @sa AdminHandler
 */
class AdminApi
{
public:
  explicit AdminApi(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// @brief Adds a handler. Call it before requests are served.
  void AddHandler(std::unique_ptr<AdminHandler> aHandler)
  {
    mHandlers.push_back(std::move(aHandler));
  }

  /// @brief Handles a request below `/admin/v1/` and sends the response.
  void Handle(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse);

private:
  /// @brief Finds the operator whose bearer key this is. @return null if there is none
  const OperatorSettings* FindOperator(const std::string& aKey) const;

  const Settings& mSettings;
  std::vector<std::unique_ptr<AdminHandler>> mHandlers;
};

} // namespace gentianloom

#endif
