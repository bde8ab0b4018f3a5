#include "gentianloom/gateway/CallerMemoryMonitor.h"

#include "gentianloom/base/Log.h"

#include <algorithm>
#include <string>

#include <sys/resource.h>

namespace gentianloom {

namespace {

constexpr double kBytesPerMb = 1'024.0 * 1'024.0;
constexpr double kMemoryDivisor = 3;
/// With less, a request with a body of 4 MiB and its copy for the endpoint would not be served.
constexpr std::size_t kMinBytes = 12UL * 1'024 * 1'024;
constexpr double kConnectionShare = 0.45;
constexpr Millis kLogInterval{ 1'000 };

std::string ReasonLabel(net::ShedReason aReason)
{
  return "reason=\"" + std::string(net::ToString(aReason)) + "\"";
}

} // namespace

net::CallerMemoryLimits MakeCallerMemoryLimits(const GatewaySettings& aSettings,
                                               std::size_t aSystemDescriptors)
{
  net::CallerMemoryLimits out;
  if (aSettings.mMemoryMb > 0) {
    const double bytes = aSettings.mMemoryMb * kBytesPerMb / kMemoryDivisor;
    out.mBytes = std::max(kMinBytes, static_cast<std::size_t>(bytes));
  }
  auto descriptors = static_cast<double>(aSystemDescriptors);
  if (aSettings.mMaxDescriptors > 0) {
    descriptors = std::min(descriptors, aSettings.mMaxDescriptors);
  }
  const auto connections = descriptors * kConnectionShare;
  out.mConnections = std::min(out.mConnections, static_cast<std::size_t>(connections));
  return out;
}

std::size_t ReadDescriptorLimit()
{
  rlimit limit{};
  const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  constexpr std::size_t kUnlimited = 1'000'000;
  return isKnown ? std::min<std::size_t>(limit.rlim_cur, kUnlimited) : kUnlimited;
}

CallerMemoryMonitor::CallerMemoryMonitor(const net::CallerMemory& aMemory, Metrics& aMetrics)
  : mMemory(aMemory)
  , mMetrics(aMetrics)
{
}

void CallerMemoryMonitor::Report(TimePoint aNow)
{
  for (std::size_t n = 0; n < net::kHeldKinds; ++n) {
    const auto kind = static_cast<net::HeldKind>(n);
    const auto label = "kind=\"" + std::string(net::ToString(kind)) + "\"";
    mMetrics.GaugeOf("gentianloom_caller_held_bytes", label)
      .Set(static_cast<std::int64_t>(mMemory.Bytes(kind)));
  }
  mMetrics.GaugeOf("gentianloom_caller_connections")
    .Set(static_cast<std::int64_t>(mMemory.Connections()));
  for (std::size_t n = 0; n < net::kShedReasons; ++n) {
    ReportShed(static_cast<net::ShedReason>(n), aNow);
  }
}

void CallerMemoryMonitor::ReportShed(net::ShedReason aReason, TimePoint aNow)
{
  auto& reported = mReported.at(static_cast<std::size_t>(aReason));
  const auto count = mMemory.Shed(aReason);
  mMetrics.CounterOf("gentianloom_caller_shed_total", ReasonLabel(aReason))
    .Add(count - reported.mCounted);
  reported.mCounted = count;
  const bool isTooSoon = reported.mLoggedAt && aNow - *reported.mLoggedAt < kLogInterval;
  if (count == reported.mLogged || isTooSoon) {
    return;
  }
  LogChange(LogLevel::Warning,
            "caller",
            "callers hold too much; connections were closed or requests refused",
            { { "reason", std::string(net::ToString(aReason)) },
              { "count", std::to_string(count - reported.mLogged) },
              { "held_bytes", std::to_string(mMemory.Bytes()) },
              { "connections", std::to_string(mMemory.Connections()) } });
  reported.mLogged = count;
  reported.mLoggedAt = aNow;
}

} // namespace gentianloom
