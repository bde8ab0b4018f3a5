#include "gentianloom/routing/RefusalWindow.h"

#include <algorithm>

namespace gentianloom {

void RefusalWindow::OnStated(bool aIsBrittle, std::int64_t aInFlight)
{
  if (aIsBrittle && !mIsBrittle) {
    mSize = std::max(kMinSize, static_cast<double>(aInFlight));
  }
  mIsBrittle = aIsBrittle;
}

void RefusalWindow::OnServed(std::int64_t aInFlight)
{
  // Requests that do not use the window do not show that a larger one would be served.
  if (static_cast<double>(aInFlight) + 1 > mSize) {
    mSize += 1 / mSize;
  }
}

void RefusalWindow::OnRefused()
{
  mSize = std::max(kMinSize, mSize / 2);
}

} // namespace gentianloom
