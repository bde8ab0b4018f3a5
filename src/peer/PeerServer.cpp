#include "gentianloom/peer/PeerServer.h"

#include "gen-cpp/Peer.h"
#include "gentianloom/external/HttpCall.h"

#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace gentianloom {

namespace {

constexpr int kSocketTimeoutMs = 5'000;

[[noreturn]] void ThrowUnsupportedCall()
{
  wire::PeerError error;
  error.code = static_cast<int>(ErrorCode::UnknownPath);
  error.text = "this router does not support the call";
  throw error;
}

template<typename T>
T& RequireHandler(T* aHandler)
{
  if (aHandler == nullptr) {
    ThrowUnsupportedCall();
  }
  return *aHandler;
}

/// Waits until the server listens or has failed to.
class ListenResult final : public apache::thrift::server::TServerEventHandler
{
public:
  void preServe() override { Complete({}); }

  /// @param aFailure why the server cannot listen; empty if it does
  void Complete(const std::string& aFailure)
  {
    {
      const std::lock_guard lock(mMutex);
      if (mIsComplete) {
        return;
      }
      mIsComplete = true;
      mFailure = aFailure;
    }
    mChanged.notify_all();
  }

  /// @brief Blocks until Complete() was called. @return its argument
  std::string Wait()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mIsComplete; });
    return mFailure;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsComplete = false;
  std::string mFailure;
};

/// Dispatches each call to its handler.
class Dispatcher final : public wire::PeerIf
{
public:
  explicit Dispatcher(const PeerHandlers& aHandlers)
    : mHandlers(aHandlers)
  {
  }

  void Probe(wire::ProbeAnswer& aOut, const wire::ProbeRequest& aRequest) override
  {
    aOut = RequireHandler(mHandlers.mMembership).OnProbe(aRequest);
  }
  void ProbeFor(wire::ProbeAnswer& aOut,
                const wire::ProbeRequest& aRequest,
                const std::string& aTarget) override
  {
    aOut = RequireHandler(mHandlers.mMembership).OnProbeFor(aRequest, aTarget);
  }
  void AskRights(wire::RightsAnswer& aOut, const wire::RightsRequest& aRequest) override
  {
    aOut = RequireHandler(mHandlers.mRights).OnAskRights(aRequest);
  }
  void FetchConfiguration(wire::ConfigurationAnswer& aOut,
                          const wire::ConfigurationRequest& aRequest) override
  {
    aOut = RequireHandler(mHandlers.mConfiguration).OnFetchConfiguration(aRequest);
  }
  void KeepBills(const std::vector<wire::BillCopy>& aBills) override
  {
    RequireHandler(mHandlers.mBills).OnKeepBills(aBills);
  }
  void FindBills(std::vector<wire::BillCopy>& aOut,
                 const std::vector<std::string>& aRequestIds) override
  {
    aOut = RequireHandler(mHandlers.mBills).OnFindBills(aRequestIds);
  }

private:
  PeerHandlers mHandlers;
};

} // namespace

struct PeerServer::State
{
  std::shared_ptr<apache::thrift::server::TThreadedServer> mServer;
  std::string mAddress;
  std::thread mThread;
};

PeerServer::PeerServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

PeerServer::~PeerServer()
{
  mState->mServer->stop();
  mState->mThread.join();
}

const std::string& PeerServer::Address() const
{
  return mState->mAddress;
}

Result<std::unique_ptr<PeerServer>> PeerServer::Start(const std::string& aListen,
                                                      const PeerHandlers& aHandlers,
                                                      int aMaxConnections)
{
  using namespace apache::thrift;
  BOOST_OUTCOME_TRY(address, ParseAddress(aListen));
  auto socket = std::make_shared<transport::TServerSocket>(address.first, address.second);
  socket->setSendTimeout(kSocketTimeoutMs);
  socket->setRecvTimeout(kSocketTimeoutMs);
  auto state = std::make_unique<State>();
  state->mServer = std::make_shared<server::TThreadedServer>(
    std::make_shared<wire::PeerProcessor>(std::make_shared<Dispatcher>(aHandlers)),
    socket,
    std::make_shared<transport::TFramedTransportFactory>(),
    std::make_shared<protocol::TCompactProtocolFactory>());
  state->mServer->setConcurrentClientLimit(aMaxConnections);
  auto listening = std::make_shared<ListenResult>();
  state->mServer->setServerEventHandler(listening);
  state->mThread = std::thread([server = state->mServer, listening] {
    try {
      server->serve();
    } catch (const TException& ex) {
      listening->Complete(ex.what());
    }
  });
  const auto failure = listening->Wait();
  if (!failure.empty()) {
    state->mThread.join();
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     aListen,
                     "cannot listen: " + failure + "; choose another address in peerListen");
  }
  state->mAddress = address.first + ":" + std::to_string(socket->getPort());
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(state)));
}

} // namespace gentianloom
