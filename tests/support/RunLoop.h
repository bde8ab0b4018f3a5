#ifndef GENTIANLOOM_SUPPORT_RUN_LOOP_H
#define GENTIANLOOM_SUPPORT_RUN_LOOP_H

#include "gentianloom/net/Task.h"

#include <chrono>

namespace gentianloom::testing {

/// A condition that has not come true by then is a failure of the test, not of its machine's speed.
inline constexpr std::chrono::seconds kRunTimeout{ 30 };

/**
 * @brief Runs a loop, one handler at a time, until a condition holds.
 * @return whether it holds
 */
template<typename Condition>
bool RunUntil(net::Loop& aLoop, Condition aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + kRunTimeout;
  aLoop.restart();
  while (!aCondition() && std::chrono::steady_clock::now() < limit) {
    aLoop.run_one_until(limit);
  }
  return aCondition();
}

} // namespace gentianloom::testing

#endif
