#ifndef GENTIANLOOM_SERVING_ENDPOINT_ADMIN_H
#define GENTIANLOOM_SERVING_ENDPOINT_ADMIN_H

#include "gentianloom/control/EndpointController.h"
#include "gentianloom/serving/AdminHandler.h"

namespace gentianloom {

/**
 * @brief Serves `GET /admin/v1/endpoints`: the configured and the actual state of each endpoint.
 *
 * Only the router that owns the shard of an endpoint knows its state; the other routers return the
 * name and address of that owner.
 */
class EndpointAdmin final : public AdminHandler
{
public:
  explicit EndpointAdmin(const EndpointController& aControl)
    : mControl(aControl)
  {
  }
  bool Handle(const AdminCall& aCall) override;

private:
  const EndpointController& mControl;
};

} // namespace gentianloom

#endif
