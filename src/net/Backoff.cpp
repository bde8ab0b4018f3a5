#include "gentianloom/net/Backoff.h"

#include "gentianloom/base/Jitter.h"

#include <algorithm>

namespace gentianloom::net {

namespace {

/// The pause is multiplied by a random factor between this one and this one plus 1.
constexpr double kMinJitterFactor = 0.5;

} // namespace

Micros Backoff::Next()
{
  const auto pause = mNext;
  mNext = std::min(mNext * 2, mMax);
  return std::chrono::duration_cast<Micros>(pause * (kMinJitterFactor + Jitter()));
}

} // namespace gentianloom::net
