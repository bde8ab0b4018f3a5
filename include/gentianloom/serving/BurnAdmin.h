#ifndef GENTIANLOOM_SERVING_BURN_ADMIN_H
#define GENTIANLOOM_SERVING_BURN_ADMIN_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/report/BurnReport.h"
#include "gentianloom/serving/AdminHandler.h"
#include "gentianloom/serving/Filters.h"

#include <mutex>
#include <optional>

namespace gentianloom {

/// Gathers how this router's requests kept their objectives. Thread-safe.
class BurnCollector
{
public:
  BurnCollector(std::string aInstance, const Clock& aClock);

  /// @brief Counts a request that has ended. @param aRejection why it was refused, if it was
  void RecordExchange(const Exchange& aExchange, const std::optional<Error>& aRejection);

  /// @brief What was counted so far.
  InstanceBurn Collect() const;

private:
  std::string mInstance;
  const Clock& mClock;
  TimePoint mStarted;
  mutable std::mutex mMutex;
  BurnRecorder mRecorder;
};

/// @brief The sample of a request that has ended; nothing if it is the caller's own fault.
std::optional<BurnSample> MakeBurnSample(const Exchange& aExchange,
                                         const std::optional<Error>& aRejection,
                                         TimePoint aNow);

/// Administration API of the burn report: what this instance counted.
class BurnAdmin final : public AdminHandler
{
public:
  BurnAdmin(const BurnCollector& aCollector, ConfigurationSource aConfiguration)
    : mCollector(aCollector)
    , mConfiguration(std::move(aConfiguration))
  {
  }

  bool Handle(const AdminCall& aCall) override;

private:
  const BurnCollector& mCollector;
  ConfigurationSource mConfiguration;
};

} // namespace gentianloom

#endif
