#ifndef GENTIANLOOM_SUPPORT_RUN_LOOP_H
#define GENTIANLOOM_SUPPORT_RUN_LOOP_H

#include "gentianloom/net/Task.h"

#include <chrono>

namespace gentianloom::testing {

/// Limit for a condition to hold. It is long enough for a slow computer.
inline constexpr std::chrono::seconds kRunTimeout{ 30 };

/**
 * @brief Runs a loop, one handler at a time, until a condition holds or kRunTimeout has passed.
 * @return whether the condition holds
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
