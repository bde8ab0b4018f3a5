#include "gentianloom/serving/HttpFrontend.h"

#include "gentianloom/serving/HttpMessages.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/ThreadPool.h>

#include <cerrno>
#include <string>
#include <string_view>

#include <sys/socket.h>

namespace gentianloom {

namespace {

constexpr int kListenBacklog = 1024;
constexpr std::string_view kCutHeadText =
  "the request ended within its head and did not run; send all of it";
/// Threads for connections beyond the configured limit, whose requests are rejected with an error
/// response. Also the maximum number of accepted connections that wait for a thread.
constexpr int kSpareConnections = 64;
constexpr int kIdleThreadSeconds = 60;
constexpr int kConnectionStackBytes = 256 * 1024;

/// Connection of a caller that notes the end of what the caller sends.
class CallerSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
  explicit CallerSocketImpl(poco_socket_t aSocket)
    : StreamSocketImpl(aSocket)
  {
  }

  using StreamSocketImpl::receiveBytes;
  int receiveBytes(void* aBuffer, int aLength, int aFlags) override
  {
    const int n = StreamSocketImpl::receiveBytes(aBuffer, aLength, aFlags);
    mHasEnded = mHasEnded || (n == 0 && aLength > 0);
    return n;
  }

  bool HasEnded() const { return mHasEnded; }

private:
  bool mHasEnded = false;
};

/// Accepts connections as CallerSocketImpl.
class ListenerImpl final : public Poco::Net::ServerSocketImpl
{
public:
  Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& aCaller) override
  {
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address); // NOLINT: as accept() asks
    int socket = -1;
    do {
      socket = ::accept(sockfd(), generic, &length);
    } while (socket < 0 && errno == EINTR);
    if (socket < 0) {
      error();
    }
    aCaller = Poco::Net::SocketAddress(generic, length);
    return new CallerSocketImpl(socket);
  }
};

class Listener final : public Poco::Net::ServerSocket
{
public:
  Listener()
    : ServerSocket(new ListenerImpl, true)
  {
  }
};

/// Whether a request's head was cut: Poco takes the end of a connection for the end of a head, and
/// reads nothing behind a whole one before the body.
bool IsHeadCut(Poco::Net::HTTPServerRequestImpl& aRequest)
{
  const auto* socket = dynamic_cast<const CallerSocketImpl*>(aRequest.socket().impl());
  return socket != nullptr && socket->HasEnded();
}

class FunctionHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  FunctionHandler(const HttpHandler& aHandler, const Poco::Timespan& aSendTimeout)
    : mHandler(aHandler)
    , mSendTimeout(aSendTimeout)
  {
  }
  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    // Without a send timeout, a caller that stops reading would block this thread forever.
    auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&aRequest);
    if (request != nullptr) {
      request->socket().setSendTimeout(mSendTimeout);
      if (IsHeadCut(*request)) {
        RejectCutHead(aResponse);
        return;
      }
    }
    mHandler(aRequest, aResponse);
  }

private:
  static void RejectCutHead(Poco::Net::HTTPServerResponse& aResponse)
  {
    aResponse.setKeepAlive(false);
    SendError(
      aResponse,
      MakeError(
        ErrorCode::MalformedRequest, Step::RequestAccept, "caller", std::string(kCutHeadText)),
      Outcome::NotRun);
  }

  const HttpHandler& mHandler;
  Poco::Timespan mSendTimeout;
};

class FunctionHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  FunctionHandlerFactory(HttpHandler aHandler, const Poco::Timespan& aSendTimeout)
    : mHandler(std::move(aHandler))
    , mSendTimeout(aSendTimeout)
  {
  }
  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*aRequest*/) override
  {
    return new FunctionHandler(mHandler, mSendTimeout);
  }

private:
  HttpHandler mHandler;
  Poco::Timespan mSendTimeout;
};

} // namespace

struct HttpFrontend::State
{
  explicit State(int aMaxThreads)
    : mThreads(2, aMaxThreads, kIdleThreadSeconds, kConnectionStackBytes)
  {
  }
  Poco::ThreadPool mThreads;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
  std::string mAddress;
};

HttpFrontend::HttpFrontend(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpFrontend::~HttpFrontend()
{
  mState->mServer->stopAll();
}

const std::string& HttpFrontend::Address() const
{
  return mState->mAddress;
}

void HttpFrontend::StopAccepting()
{
  mState->mServer->stop();
}

Result<std::unique_ptr<HttpFrontend>> HttpFrontend::Start(const std::string& aListen,
                                                          const ServingSettings& aSettings,
                                                          HttpHandler aHandler)
{
  const int threads = aSettings.mMaxConnections + kSpareConnections;
  auto state = std::make_unique<State>(threads);
  try {
    Listener socket;
    socket.bind(Poco::Net::SocketAddress(aListen), /*reuseAddress=*/true);
    socket.listen(kListenBacklog);
    state->mAddress = socket.address().toString();
    auto params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(threads);
    params->setMaxQueued(kSpareConnections);
    // For waiting for the next request of a connection, and for receiving and sending.
    const std::chrono::microseconds timeout = aSettings.mClientIdleTimeout;
    params->setTimeout(Poco::Timespan(timeout.count()));
    params->setKeepAlive(true);
    state->mServer = std::make_unique<Poco::Net::HTTPServer>(
      new FunctionHandlerFactory(std::move(aHandler), Poco::Timespan(timeout.count())),
      state->mThreads,
      socket,
      params);
    state->mServer->start();
  } catch (const Poco::Exception& ex) {
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     aListen,
                     "cannot listen: " + ex.displayText() + "; set \"listen\" to another address");
  }
  return std::unique_ptr<HttpFrontend>(new HttpFrontend(std::move(state)));
}

} // namespace gentianloom
