#include "gentianloom/external/HttpCall.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

namespace gentianloom {

namespace {

/// Time of a whole call, in timeouts of a single step.
constexpr int kTimeoutsPerCall = 3;

/// Returns whether a chunked response was read to its last chunk. If it was cut off, the server has
/// closed the connection, so that the socket is readable but has no data.
bool HasReadLastChunk(const Poco::Net::HTTPResponse& aResponse, Poco::Net::StreamSocket& aSocket)
{
  if (!aResponse.getChunkedTransferEncoding() || !aResponse.getKeepAlive()) {
    return false;
  }
  const bool isReadable = aSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  return !isReadable || aSocket.available() > 0;
}

} // namespace

Poco::Net::StreamSocket Connect(const std::string& aHost,
                                std::uint16_t aPort,
                                const SocketTimeouts& aTimeouts,
                                const ReceiveLimits& aLimits)
{
  const auto toTimespan = [](Millis aTime) {
    return Poco::Timespan(std::chrono::microseconds(aTime).count());
  };
  BoundedSocket socket(aLimits);
  socket.connect(Poco::Net::SocketAddress(aHost, aPort), toTimespan(aTimeouts.mConnect));
  socket.setSendTimeout(toTimespan(aTimeouts.mSend));
  socket.setReceiveTimeout(toTimespan(aTimeouts.mReceive));
  socket.setNoDelay(true);
  return socket;
}

boost::outcome_v2::checked<HttpResponse, CallFailure> CallHttp(std::string_view aAddress,
                                                               const HttpRequest& aRequest,
                                                               Millis aTimeout,
                                                               Step aStep,
                                                               std::optional<Millis> aMaxDuration)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    return CallFailure{ CallProgress::NotSent, address.error() };
  }
  CallProgress progress = CallProgress::NotSent;
  const auto maxDuration = aMaxDuration.value_or(aTimeout * kTimeoutsPerCall);
  const ReceiveLimits limits{ kMaxCallResponseBytes,
                              std::chrono::steady_clock::now() + maxDuration };
  try {
    auto socket = Connect(
      address.value().first, address.value().second, { aTimeout, aTimeout, aTimeout }, limits);
    // From here on, bytes may have been sent before a failure, even one while writing the headers.
    progress = CallProgress::Sent;
    Poco::Net::HTTPClientSession session(socket);
    session.setKeepAlive(true);
    Poco::Net::HTTPRequest request(
      aRequest.mMethod, aRequest.mPath, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : aRequest.mHeaders) {
      request.set(name, value);
    }
    if (!aRequest.mBody.empty() || aRequest.mMethod != "GET") {
      request.setContentType(aRequest.mContentType);
      request.setContentLength(static_cast<std::streamsize>(aRequest.mBody.size()));
    }
    request.setHost(address.value().first, address.value().second);
    auto& out = session.sendRequest(request);
    out << aRequest.mBody << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = ReceiveHead(session, response);
    HttpResponse answer;
    answer.mStatus = response.getStatus();
    Poco::StreamCopier::copyToString(in, answer.mBody);
    answer.mContentType = response.getContentType();
    const bool hasNoBody = aRequest.mMethod == "HEAD" || answer.mStatus == 204;
    answer.mIsComplete =
      hasNoBody || response.hasContentLength() || HasReadLastChunk(response, session.socket());
    const bool hasFullLength =
      hasNoBody || !response.hasContentLength() ||
      response.getContentLength64() == static_cast<Poco::Int64>(answer.mBody.size());
    if (!hasFullLength || session.networkException() != nullptr) {
      return CallFailure{ progress,
                          MakeError(ErrorCode::AnswerIncomplete,
                                    aStep,
                                    aAddress,
                                    "the response ended before its content length") };
    }
    return answer;
  } catch (const Poco::Exception& ex) {
    return CallFailure{
      progress, MakeError(ErrorCode::PlatformUnavailable, aStep, aAddress, ex.displayText())
    };
  } catch (const std::exception& ex) {
    return CallFailure{ progress,
                        MakeError(ErrorCode::PlatformUnavailable, aStep, aAddress, ex.what()) };
  }
}

} // namespace gentianloom
