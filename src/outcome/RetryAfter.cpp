#include "gentianloom/outcome/RetryAfter.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Bounds on the answer; callers keep to no more than a third of the time that they have.
constexpr Millis kLeast{ 400 };
constexpr Millis kMost{ 4'000 };

} // namespace

Millis EstimateRetryAfter(Millis aAwayFor)
{
  return std::clamp(aAwayFor, kLeast, kMost);
}

} // namespace gentianloom
