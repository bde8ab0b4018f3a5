#ifndef GENTIANLOOM_SERVING_ADMIN_HANDLER_H
#define GENTIANLOOM_SERVING_ADMIN_HANDLER_H

#include "gentianloom/settings/Settings.h"

#include <string>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace gentianloom {

/// One request to the administration API, by an operator whose key was checked.
struct AdminCall
{
  const OperatorSettings& mOperator;
  std::string mMethod;
  std::string mPath; ///< below `/admin/v1`, without query, for example `/status`
  std::string mQuery;
  Poco::Net::HTTPServerRequest& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
};

/**
 * @brief A part of the administration API, for example budgets.
 */
class AdminHandler
{
public:
  virtual ~AdminHandler() = default;

  /// @brief Answers a call. @return false if the path is not of this area
  virtual bool Handle(const AdminCall& aCall) = 0;
};

} // namespace gentianloom

#endif
