#ifndef GENTIANLOOM_NET_SIGNAL_H
#define GENTIANLOOM_NET_SIGNAL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Task.h"

#include <boost/asio/steady_timer.hpp>

namespace gentianloom::net {

/**
 * @brief Lets one coroutine wait until something changes or time has passed.
 *
 * A notification is kept until the next wait, so none is lost between a check and the wait. One
 * coroutine waits at a time.
 */
class Signal
{
public:
  explicit Signal(Loop& aLoop);

  /// @brief Ends the present wait, or the next one if nobody waits.
  void Notify();

  /// @brief Waits for Notify(), at most @p aTime. May return early; callers check their condition.
  Task<void> WaitFor(Micros aTime);

  /// @brief Waits for the whole time, whatever is notified.
  static Task<void> Sleep(Loop& aLoop, Micros aTime);

private:
  boost::asio::steady_timer mTimer;
  bool mNotified = false;
};

} // namespace gentianloom::net

#endif
