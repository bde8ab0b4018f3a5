#include "gentianloom/external/BoundedSocket.h"

#include "gentianloom/net/HttpStatus.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>

namespace gentianloom {

namespace {

/// Interim responses that are skipped before a final one.
constexpr int kMaxInterimResponses = 16;

} // namespace

int BoundedSocketImpl::receiveBytes(void* aBuffer, int aLength, int aFlags)
{
  if (std::chrono::steady_clock::now() >= mLimits.mDeadline) {
    throw Poco::TimeoutException("the response did not end in time");
  }
  if (mLimits.mBytes == 0) {
    throw Poco::Net::NetException("the response is larger than allowed");
  }
  const auto length = std::min(static_cast<std::size_t>(aLength), mLimits.mBytes);
  const int n = StreamSocketImpl::receiveBytes(aBuffer, static_cast<int>(length), aFlags);
  mLimits.mBytes -= static_cast<std::size_t>(std::max(n, 0));
  mHasEnded = mHasEnded || (n == 0 && length > 0);
  return n;
}

BoundedSocket::BoundedSocket(const ReceiveLimits& aLimits)
  : StreamSocket(new BoundedSocketImpl)
{
  LimitsOf(*this)->SetLimits(aLimits);
}

BoundedSocketImpl* BoundedSocket::LimitsOf(const Poco::Net::Socket& aSocket)
{
  return dynamic_cast<BoundedSocketImpl*>(aSocket.impl());
}

std::istream& ReceiveHead(Poco::Net::HTTPClientSession& aSession,
                          Poco::Net::HTTPResponse& aResponse)
{
  for (int n = 0; n <= kMaxInterimResponses; ++n) {
    auto& out = aSession.receiveResponse(aResponse); // skips status 100 itself
    // Of a whole head, nothing behind it is read before the body is.
    if (BoundedSocket::LimitsOf(aSession.socket())->HasEnded()) {
      throw Poco::Net::MessageException("the connection ended within the head of the response");
    }
    const auto status = static_cast<int>(aResponse.getStatus());
    if (!net::IsStatus(status)) {
      throw Poco::Net::MessageException("the response has no valid status");
    }
    if (!net::IsInterim(status)) {
      return out;
    }
  }
  throw Poco::Net::MessageException("too many interim responses");
}

} // namespace gentianloom
