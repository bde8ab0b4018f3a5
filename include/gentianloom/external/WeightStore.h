#ifndef GENTIANLOOM_EXTERNAL_WEIGHT_STORE_H
#define GENTIANLOOM_EXTERNAL_WEIGHT_STORE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <string>

namespace gentianloom {

/**
 * @brief Client of the platform's store of model weights, which limits the load rate with permits.
 */
class WeightStore
{
public:
  virtual ~WeightStore() = default;

  /**
   * @brief Requests a permit to load weights once.
   * @param aWeights model and version, for example `slides-large@2026-05`
   * @return success if the permit was granted; ErrorCode::Overloaded with the time to wait before
   *         the next request (Error::mRetryAfter); or ErrorCode::PlatformUnavailable
   */
  virtual Result<void> RequestPermit(const std::string& aWeights) = 0;
};

/**
 * @brief Requests permits by JSON over HTTP at `/permits`.
 */
class HttpWeightStore final : public WeightStore
{
public:
  /// @param aAddress `host:port` of the store; if empty, every permit is granted
  HttpWeightStore(std::string aAddress, Millis aTimeout)
    : mAddress(std::move(aAddress))
    , mTimeout(aTimeout)
  {
  }
  Result<void> RequestPermit(const std::string& aWeights) override;

private:
  std::string mAddress;
  Millis mTimeout;
};

} // namespace gentianloom

#endif
