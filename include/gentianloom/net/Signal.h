#ifndef GENTIANLOOM_NET_SIGNAL_H
#define GENTIANLOOM_NET_SIGNAL_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Task.h"

#include <boost/asio/steady_timer.hpp>

namespace gentianloom::net {

/**
 * @brief Lets a coroutine wait for a notification or a timeout.
 *
 * A notification is kept until the next wait, so none is lost between checking a condition and
 * waiting for it. Only one coroutine may wait at a time.
 */
class Signal
{
public:
  explicit Signal(Loop& aLoop);

  /// @brief Ends the current wait, or the next one if no coroutine is waiting.
  void Notify();

  /// @brief Waits for Notify(), at most @p aTime. May return early, so callers check their
  /// condition in a loop.
  Task<void> WaitFor(Micros aTime);

  /// @brief Waits for the whole time; no notification ends it.
  static Task<void> Sleep(Loop& aLoop, Micros aTime);

private:
  boost::asio::steady_timer mTimer;
  bool mNotified = false;
};

} // namespace gentianloom::net

#endif
