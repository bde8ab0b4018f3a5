#ifndef GENTIANLOOM_SERVING_ENDPOINT_ADMIN_H
#define GENTIANLOOM_SERVING_ENDPOINT_ADMIN_H

#include "gentianloom/control/EndpointController.h"
#include "gentianloom/serving/AdminArea.h"

namespace gentianloom {

/**
 * @brief `GET /admin/v1/endpoints`: what is stated and what runs; the owner of each endpoint's
 * shard knows, and the others name it.
 */
class EndpointAdmin final : public AdminArea
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
