#ifndef GENTIANLOOM_EXTERNAL_INSTANCE_LIST_H
#define GENTIANLOOM_EXTERNAL_INSTANCE_LIST_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <memory>
#include <string>
#include <vector>

namespace gentianloom {

/// One instance as the platform's list has it. The list lags behind reality.
struct ListedInstance
{
  std::string mName;
  std::string mAddress;
  std::string mZone;
  bool mIsLeaving = false;
};

/// The platform's list of live and leaving instances.
class InstanceList
{
public:
  virtual ~InstanceList() = default;

  /// @brief Reads the whole list, or ErrorCode::PlatformUnavailable.
  virtual Result<std::vector<ListedInstance>> Read() = 0;
};

/**
 * @brief Adapter for an instance list served as JSON over HTTP at `/instances`.
 */
class HttpInstanceList final : public InstanceList
{
public:
  HttpInstanceList(std::string aAddress, Millis aTimeout)
    : mAddress(std::move(aAddress))
    , mTimeout(aTimeout)
  {
  }
  Result<std::vector<ListedInstance>> Read() override;

private:
  std::string mAddress;
  Millis mTimeout;
};

} // namespace gentianloom

#endif
