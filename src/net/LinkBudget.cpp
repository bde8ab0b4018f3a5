#include "gentianloom/net/LinkBudget.h"

#include <algorithm>

namespace gentianloom::net {

namespace {

constexpr Millis kSecond{ 1'000 };
constexpr Millis kBacklogTime{ 60 };
constexpr double kRequestBytes = 4'096;
constexpr int kMinBacklog = 16;
/// A larger backlog is left to the system.
constexpr double kMaxBacklog = 4'096;

} // namespace

LinkBudget::LinkBudget(double aBytesPerSecond)
  : mBytesPerMicro(aBytesPerSecond * kShare / static_cast<double>(Micros(kSecond).count()))
{
}

void LinkBudget::OnTotal(std::uint64_t aBytes, TimePoint aNow)
{
  const auto received = static_cast<double>(aBytes - mTotal);
  mTotal = aBytes;
  if (mBytesPerMicro > 0) {
    const Micros time(static_cast<std::int64_t>(received / mBytesPerMicro));
    mCarriedUntil = std::max(mCarriedUntil, aNow) + time;
  }
}

Micros LinkBudget::TimeUntilAccept(TimePoint aNow) const
{
  const Micros byBytes = mCarriedUntil - aNow - kBurst;
  const Micros byPause = mAcceptedAt + kMaxPause - aNow;
  return std::max(Micros(0), std::min(byBytes, byPause));
}

std::optional<int> LinkBudget::Backlog() const
{
  const auto bytes = mBytesPerMicro * static_cast<double>(Micros(kBacklogTime).count());
  const auto out = bytes / kRequestBytes;
  if (mBytesPerMicro <= 0 || out > kMaxBacklog) {
    return std::nullopt;
  }
  return std::max(kMinBacklog, static_cast<int>(out));
}

} // namespace gentianloom::net
