#ifndef GENTIANLOOM_NET_TASK_H
#define GENTIANLOOM_NET_TASK_H

// Boost 1.74's coroutine support uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace gentianloom::net {

/// The event loop of a process. A single thread runs it, so code on the loop needs no locks.
using Loop = boost::asio::io_context;

/**
 * A coroutine on the event loop.
 *
 * g++ 12 miscompiles `co_await` inside a condition and `co_await` of a call with braced temporaries
 * as arguments. Store the awaited result in a named variable before testing it, and build aggregate
 * arguments in named variables before the call.
 */
template<typename T>
using Task = boost::asio::awaitable<T>;

/**
 * @brief Starts a detached coroutine. An exception that escapes from it is logged.
 * @param aName what the coroutine does, for that log line
 */
void Start(Loop& aLoop, std::string_view aName, Task<void> aTask);

} // namespace gentianloom::net

#endif
