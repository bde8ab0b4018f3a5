#ifndef GENTIANLOOM_GATEWAY_LATEST_DATAGRAMS_H
#define GENTIANLOOM_GATEWAY_LATEST_DATAGRAMS_H

#include "gentianloom/base/Clock.h"

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianloom {

/**
 * @brief Datagrams that wait to be handled, at most one of each sender: a later one replaces an
 * earlier one. No I/O; not thread-safe.
 *
 * Load pattern: each of hundreds of instances sends its load to all others many times a second. An
 * instance with little processor time skips the reports that newer ones have replaced, in place of
 * handling all of them late.
 */
class LatestDatagrams
{
public:
  using Address = boost::asio::ip::udp::endpoint;

  /// Most senders whose datagrams wait; those of others are dropped.
  static constexpr std::size_t kMaxSenders = 4'096;

  struct Datagram
  {
    Address mSender;
    std::string mBytes;
    TimePoint mArrivedAfter{}; ///< earliest time at which it may have arrived
  };

  /// @brief Adds a datagram behind all others, or in the place of an earlier one of its sender.
  /// @return false if an earlier datagram was replaced, or if this one was dropped
  bool Put(const Address& aSender, std::string_view aBytes, TimePoint aArrivedAfter);

  /// @brief Removes the datagram that has waited longest. @return it, or nothing if none waits
  std::optional<Datagram> Take();

  bool IsEmpty() const { return mOrder.empty(); }

private:
  std::map<Address, Datagram> mDatagrams;
  std::deque<Address> mOrder; ///< senders, by the time since which one of theirs waits
};

} // namespace gentianloom

#endif
