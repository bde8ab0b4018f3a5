#include "gentianloom/routing/RefusalWindow.h"

#include <algorithm>

namespace gentianloom {

void RefusalWindow::OnStated(bool aIsBrittle, std::int64_t aFirstSize)
{
  if (aIsBrittle && !mSize) {
    mSize = std::max(kMinSize, static_cast<double>(aFirstSize));
  }
  mIsBrittle = aIsBrittle;
}

void RefusalWindow::OnServed(std::int64_t aInFlight)
{
  // Requests that do not use the window do not show that a larger one would be served.
  if (mSize && static_cast<double>(aInFlight) + 1 > *mSize) {
    *mSize += 1 / *mSize;
  }
}

void RefusalWindow::OnRefused(std::int64_t aInFlight)
{
  const auto inFlight = static_cast<double>(aInFlight);
  mSize = std::max(kMinSize, std::min(mSize.value_or(inFlight), inFlight) / 2);
  mIsBrittle = true;
}

} // namespace gentianloom
