#ifndef GENTIANLOOM_EXTERNAL_WEIGHT_STORE_H
#define GENTIANLOOM_EXTERNAL_WEIGHT_STORE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <string>

namespace gentianloom {

/**
 * @brief The platform's store of weights, which limits the rate of loading by permits.
 */
class WeightStore
{
public:
  virtual ~WeightStore() = default;

  /**
   * @brief Asks for a permit to load weights once.
   * @param aWeights model and version, for example `slides-large@2026-05`
   * @return ErrorCode::Overloaded with the time to come back, or ErrorCode::PlatformUnavailable
   */
  virtual Result<void> RequestPermit(const std::string& aWeights) = 0;
};

/**
 * @brief Adapter for a store that gives permits at `/permits` by JSON over HTTP.
 */
class HttpWeightStore final : public WeightStore
{
public:
  /// @param aAddress empty: there is no store, and every permit is given
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
