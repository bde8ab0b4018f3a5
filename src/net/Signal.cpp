#include "gentianloom/net/Signal.h"

#include "gentianloom/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <string>

namespace gentianloom::net {

void Start(Loop& aLoop, std::string_view aName, Task<void> aTask)
{
  boost::asio::co_spawn(
    aLoop, std::move(aTask), [name = std::string(aName)](const std::exception_ptr& aException) {
      if (!aException) {
        return;
      }
      try {
        std::rethrow_exception(aException);
      } catch (const std::exception& ex) {
        LogChange(LogLevel::Error,
                  "net",
                  "a coroutine ended with an exception",
                  { { "task", name }, { "error", ex.what() } });
      }
    });
}

Signal::Signal(Loop& aLoop)
  : mTimer(aLoop)
{
}

void Signal::Notify()
{
  mNotified = true;
  mTimer.cancel();
}

Task<void> Signal::WaitFor(Micros aTime)
{
  if (!mNotified && aTime > Micros(0)) {
    boost::system::error_code ec;
    mTimer.expires_after(aTime);
    co_await mTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  mNotified = false;
}

Task<void> Signal::Sleep(Loop& aLoop, Micros aTime)
{
  boost::system::error_code ec;
  boost::asio::steady_timer timer(aLoop);
  timer.expires_after(aTime);
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

} // namespace gentianloom::net
