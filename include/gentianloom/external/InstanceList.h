#ifndef GENTIANLOOM_EXTERNAL_INSTANCE_LIST_H
#define GENTIANLOOM_EXTERNAL_INSTANCE_LIST_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <memory>
#include <string>
#include <vector>

namespace gentianloom {

/// Entry of the platform's instance list. The list is updated with a delay.
struct ListedInstance
{
  std::string mName;
  std::string mAddress;
  std::string mZone;
  bool mIsLeaving = false;
};

/// Reads the platform's list of live and leaving instances.
class InstanceList
{
public:
  virtual ~InstanceList() = default;

  /// @brief Reads the complete list. @return the instances, or ErrorCode::PlatformUnavailable
  virtual Result<std::vector<ListedInstance>> Read() = 0;
};

/**
 * @brief Reads an instance list served as JSON over HTTP at `/instances`.
 */
class HttpInstanceList final : public InstanceList
{
public:
  /// @param aAddress `host:port` of the service
  /// @param aTimeout for each of connect, send and receive
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
