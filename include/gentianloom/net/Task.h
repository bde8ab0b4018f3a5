#ifndef GENTIANLOOM_NET_TASK_H
#define GENTIANLOOM_NET_TASK_H

// Boost 1.74's coroutine support uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace gentianloom::net {

/// The event loop of a process. One thread runs it, so code on it needs no locks.
using Loop = boost::asio::io_context;

/**
 * A coroutine on the event loop.
 *
 * g++ 12 miscompiles `co_await` inside a condition and with braced temporaries among the arguments;
 * results go into a named variable first, aggregates into one before the call.
 */
template<typename T>
using Task = boost::asio::awaitable<T>;

/**
 * @brief Starts a coroutine that runs by itself. An exception that leaves it is logged.
 * @param aName what the coroutine does, for the log line
 */
void Start(Loop& aLoop, std::string_view aName, Task<void> aTask);

} // namespace gentianloom::net

#endif
