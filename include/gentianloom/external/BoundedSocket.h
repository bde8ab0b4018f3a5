#ifndef GENTIANLOOM_EXTERNAL_BOUNDED_SOCKET_H
#define GENTIANLOOM_EXTERNAL_BOUNDED_SOCKET_H

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <chrono>
#include <cstddef>
#include <istream>

namespace gentianloom {

/// How much may be received on a connection, and until when.
struct ReceiveLimits
{
  std::size_t mBytes = 0;
  std::chrono::steady_clock::time_point mDeadline;
};

/**
 * @brief Connection that stops receiving at a limit, in a head as well as in a body.
 *
 * Poco's HTTP session bounds neither the size of a body, nor the number of interim responses, nor
 * the total time of a response whose bytes keep coming.
 */
class BoundedSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
  void SetLimits(const ReceiveLimits& aLimits) { mLimits = aLimits; }

  /// @brief Sets how many bytes may be received from now on; the deadline stays the same.
  void Allow(std::size_t aBytes) { mLimits.mBytes = aBytes; }

  /// @brief Whether the peer has ended the connection, as far as it was read.
  bool HasEnded() const { return mHasEnded; }

  using StreamSocketImpl::receiveBytes;
  /// @throws Poco::TimeoutException after the deadline, Poco::Net::NetException once as many bytes
  ///   as allowed were received
  int receiveBytes(void* aBuffer, int aLength, int aFlags) override;

private:
  ReceiveLimits mLimits;
  bool mHasEnded = false;
};

/// A stream socket with a BoundedSocketImpl. Copies share its limits.
class BoundedSocket : public Poco::Net::StreamSocket
{
public:
  explicit BoundedSocket(const ReceiveLimits& aLimits);

  /// @brief The limits of a socket, or null if it has none.
  static BoundedSocketImpl* LimitsOf(const Poco::Net::Socket& aSocket);
};

/**
 * @brief Receives the head of a final response. Poco takes the end of a connection for the end of a
 * head, and interim responses other than 100 for final ones.
 * @param aSession session over a BoundedSocket
 * @return the stream of the body
 * @throws Poco::Net::MessageException if the connection ended within the head, the head states a
 *   number that is no status, or too many interim responses come first
 */
std::istream& ReceiveHead(Poco::Net::HTTPClientSession& aSession,
                          Poco::Net::HTTPResponse& aResponse);

} // namespace gentianloom

#endif
