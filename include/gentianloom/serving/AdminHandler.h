#ifndef GENTIANLOOM_SERVING_ADMIN_HANDLER_H
#define GENTIANLOOM_SERVING_ADMIN_HANDLER_H

#include "gentianloom/settings/Settings.h"

#include <string>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace gentianloom {

/// One request to the administration API from an authenticated operator.
struct AdminCall
{
  const OperatorSettings& mOperator;
  std::string mMethod;
  std::string mPath;  ///< without `/admin/v1` and without the query, for example `/status`
  std::string mQuery; ///< without the question mark; empty if there is none
  Poco::Net::HTTPServerRequest& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
};

/**
 * @brief Handles the requests to one part of the administration API, for example budgets.
 */
class AdminHandler
{
public:
  virtual ~AdminHandler() = default;

  /**
   * @brief Handles a request and sends the response.
   * @return false if the method and path do not belong to this handler; nothing was sent then
   */
  virtual bool Handle(const AdminCall& aCall) = 0;
};

} // namespace gentianloom

#endif
