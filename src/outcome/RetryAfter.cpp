#include "gentianloom/outcome/RetryAfter.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kMinRetryAfter{ 400 };
/// Callers wait for at most a third of the time that they have left, so a longer delay has no use.
constexpr Millis kMaxRetryAfter{ 4'000 };

} // namespace

Millis EstimateRetryAfter(Millis aOutageDuration)
{
  return std::clamp(aOutageDuration, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace gentianloom
