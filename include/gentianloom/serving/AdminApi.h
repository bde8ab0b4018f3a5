#ifndef GENTIANLOOM_SERVING_ADMIN_API_H
#define GENTIANLOOM_SERVING_ADMIN_API_H

#include "gentianloom/serving/AdminHandler.h"

#include <memory>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief The administration API below `/admin/v1/`: checks the operator's key, then asks each area.
 * @sa AdminHandler
 */
class AdminApi
{
public:
  explicit AdminApi(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// @brief Adds a part of the API; before serving starts.
  void Add(std::unique_ptr<AdminHandler> aHandler) { mHandlers.push_back(std::move(aHandler)); }

  /// @brief Handles a request below `/admin/v1/`.
  void Handle(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse);

private:
  const OperatorSettings* FindOperator(const std::string& aKey) const;

  const Settings& mSettings;
  std::vector<std::unique_ptr<AdminHandler>> mHandlers;
};

} // namespace gentianloom

#endif
