#ifndef GENTIANLOOM_SUPPORT_LOOPBACK_PORT_H
#define GENTIANLOOM_SUPPORT_LOOPBACK_PORT_H

#include "gentianloom/net/Task.h"

#include <boost/asio/ip/udp.hpp>

#include <string>

namespace gentianloom::testing {

/// @brief Returns an address 127.0.0.1:PORT with a free UDP port. Bind it before the next call: the
/// operating system may give out the same port again.
inline std::string FreeLoopbackAddress(net::Loop& aLoop)
{
  const boost::asio::ip::udp::socket it(aLoop, { boost::asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(it.local_endpoint().port());
}

} // namespace gentianloom::testing

#endif
