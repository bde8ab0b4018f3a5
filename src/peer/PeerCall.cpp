#include "gentianloom/peer/PeerCall.h"

#include "gen-cpp/Peer.h"
#include "gentianloom/external/HttpCall.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace gentianloom {

Result<void> CallPeer(const std::string& aAddress,
                      Millis aTimeout,
                      Step aStep,
                      const std::function<void(wire::PeerClient&)>& aCall)
{
  using namespace apache::thrift;
  BOOST_OUTCOME_TRY(address, ParseAddress(aAddress));
  const auto socket = std::make_shared<transport::TSocket>(address.first, address.second);
  const auto ms = static_cast<int>(aTimeout.count());
  socket->setConnTimeout(ms);
  socket->setSendTimeout(ms);
  socket->setRecvTimeout(ms);
  const auto framed = std::make_shared<transport::TFramedTransport>(socket);
  wire::PeerClient client(std::make_shared<protocol::TCompactProtocol>(framed));
  try {
    framed->open();
    aCall(client);
    framed->close();
    return success();
  } catch (const wire::PeerError& ex) {
    return MakeError(ErrorCode::PeerUnavailable, aStep, aAddress, ex.text);
  } catch (const TException& ex) {
    return MakeError(ErrorCode::PeerUnavailable, aStep, aAddress, ex.what());
  }
}

} // namespace gentianloom
