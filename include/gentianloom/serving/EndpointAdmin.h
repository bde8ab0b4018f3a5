#ifndef GENTIANLOOM_SERVING_ENDPOINT_ADMIN_H
#define GENTIANLOOM_SERVING_ENDPOINT_ADMIN_H

#include "gentianloom/control/ControlDuty.h"
#include "gentianloom/serving/AdminHandler.h"

namespace gentianloom {

/**
 * @brief `GET /admin/v1/endpoints`: what is stated and what runs; the owner of each endpoint's
 * shard knows, and the others name it.
 */
class EndpointAdmin final : public AdminHandler
{
public:
  explicit EndpointAdmin(const ControlDuty& aControl)
    : mControl(aControl)
  {
  }
  bool Handle(const AdminCall& aCall) override;

private:
  const ControlDuty& mControl;
};

} // namespace gentianloom

#endif
