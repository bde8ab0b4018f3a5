#ifndef GENTIANLOOM_GATEWAY_CALLER_SERVER_H
#define GENTIANLOOM_GATEWAY_CALLER_SERVER_H

#include "gentianloom/net/HttpParser.h"
#include "gentianloom/relay/RequestExchange.h"

namespace gentianloom {

/**
 * @brief Reads callers' requests one after another and serves each by a RequestExchange.
 *
 * Framing that two readers could understand differently is refused and its connection closed.
 */
class CallerServer
{
public:
  explicit CallerServer(RelayParts& aRelay)
    : mRelay(aRelay)
  {
  }

  /// @brief Starts to listen. @return ErrorCode::BadSettings if the address cannot be taken
  Result<void> Start(const net::Channel::Address& aAddress);

private:
  net::Task<void> Serve(net::Channel::Ptr aChannel);
  net::Task<bool> ReadRequest(net::Channel& aChannel,
                              net::Signal& aSignal,
                              net::RequestParser& aParser);
  static void RejectRequest(net::Channel& aChannel, net::ParseFault aFault);
  CallerLimits Limits() const;

  RelayParts& mRelay;
};

} // namespace gentianloom

#endif
