#ifndef GENTIANLOOM_GATEWAY_CALLER_MEMORY_MONITOR_H
#define GENTIANLOOM_GATEWAY_CALLER_MEMORY_MONITOR_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/gateway/GatewaySettings.h"
#include "gentianloom/net/CallerMemory.h"

#include <array>
#include <optional>

namespace gentianloom {

/**
 * @brief Derives the bounds of what callers may make a process hold: a third of the machine's
 * memory, and half of the file descriptors.
 *
 * The rest is for the process itself, endpoints, the key-value service and what is freed late.
 *
 * @param aSystemDescriptors limit of the operating system, which applies as well
 */
net::CallerMemoryLimits MakeCallerMemoryLimits(const GatewaySettings& aSettings,
                                               std::size_t aSystemDescriptors);

/// @brief Returns how many file descriptors the operating system lets this process open.
std::size_t ReadDescriptorLimit();

/**
 * @brief Reports what callers hold: metrics, and one log line a second for each reason for which
 * connections were closed or requests refused.
 */
class CallerMemoryMonitor
{
public:
  CallerMemoryMonitor(const net::CallerMemory& aMemory, Metrics& aMetrics);

  /// @brief Brings metrics and log up to date; called several times a second.
  void Report(TimePoint aNow);

private:
  struct Reported
  {
    std::uint64_t mCounted = 0; ///< in the metrics
    std::uint64_t mLogged = 0;
    std::optional<TimePoint> mLoggedAt;
  };

  void ReportShed(net::ShedReason aReason, TimePoint aNow);

  const net::CallerMemory& mMemory;
  Metrics& mMetrics;
  std::array<Reported, net::kShedReasons> mReported{};
};

} // namespace gentianloom

#endif
