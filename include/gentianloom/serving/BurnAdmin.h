#ifndef GENTIANLOOM_SERVING_BURN_ADMIN_H
#define GENTIANLOOM_SERVING_BURN_ADMIN_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/report/BurnReport.h"
#include "gentianloom/serving/AdminHandler.h"
#include "gentianloom/serving/Filters.h"

#include <mutex>
#include <optional>

namespace gentianloom {

/// Counts which of this router's requests met their service level objectives. Thread-safe.
class BurnCollector
{
public:
  BurnCollector(std::string aInstance, const Clock& aClock);

  /// @brief Counts a completed request. @param aRejection why it was rejected; empty if it was not
  void RecordExchange(const Exchange& aExchange, const std::optional<Error>& aRejection);

  /// @brief Returns the counts since the start of the process.
  InstanceBurn Collect() const;

private:
  std::string mInstance;
  const Clock& mClock;
  TimePoint mStarted;
  mutable std::mutex mMutex;
  BurnRecorder mRecorder;
};

/**
 * @brief Makes the sample of a completed request.
 * @param aRejection why the request was rejected; empty if it was not
 * @return empty if the request does not count: its organisation is unknown, or it was rejected
 *         because of the request itself, such as an unknown model or a passed deadline
 */
std::optional<BurnSample> MakeBurnSample(const Exchange& aExchange,
                                         const std::optional<Error>& aRejection,
                                         TimePoint aNow);

/// Administration API of the burn rate report: returns the counts of this instance for the
/// organisations that the operator may see.
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
