#ifndef GENTIANLOOM_NET_BACKOFF_H
#define GENTIANLOOM_NET_BACKOFF_H

#include "gentianloom/base/Clock.h"

namespace gentianloom::net {

/**
 * @brief Exponential backoff with jitter between tries of a call that fails.
 *
 * Load pattern: hundreds of instances whose service is away or turns them away. Each refused call
 * loads the service, and all instances begin at the same moment.
 */
class Backoff
{
public:
  /// @param aFirst pause after the first failure; it doubles with each further one
  /// @param aMax longest pause, before the jitter
  Backoff(Millis aFirst, Millis aMax)
    : mFirst(aFirst)
    , mMax(aMax)
    , mNext(aFirst)
  {
  }

  /// @brief Returns the pause after a failure: 0.5 to 1.5 times the next step.
  Micros Next();

  /// @brief Begins with the first pause again, after a success.
  void Reset() { mNext = mFirst; }

private:
  Millis mFirst;
  Millis mMax;
  Millis mNext;
};

} // namespace gentianloom::net

#endif
