#include "gentianloom/serving/Router.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/configuration/ConfigurationManager.h"
#include "gentianloom/control/EndpointController.h"
#include "gentianloom/external/EtcdStore.h"
#include "gentianloom/external/InstanceList.h"
#include "gentianloom/membership/EntryPoints.h"
#include "gentianloom/membership/GossipFlusher.h"
#include "gentianloom/membership/InstanceListPoller.h"
#include "gentianloom/membership/MemberRecords.h"
#include "gentianloom/outcome/Drain.h"
#include "gentianloom/peer/PeerServer.h"
#include "gentianloom/routing/RoutingGossip.h"
#include "gentianloom/serving/AdminApi.h"
#include "gentianloom/serving/BudgetAdmin.h"
#include "gentianloom/serving/BurnAdmin.h"
#include "gentianloom/serving/CallerApi.h"
#include "gentianloom/serving/ConfigurationAdmin.h"
#include "gentianloom/serving/ConfigurationGossipSink.h"
#include "gentianloom/serving/EndpointAdmin.h"
#include "gentianloom/serving/HttpFrontend.h"
#include "gentianloom/serving/HttpMessages.h"
#include "gentianloom/serving/LoadPoller.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>

namespace gentianloom {

namespace {

constexpr int kMaxPeerConnections = 64;
constexpr int kPermille = 1000;
constexpr Millis kDrainPollInterval{ 100 };

/// Number of peers that are notified of a crash immediately; the others learn of it by gossip.
constexpr std::size_t kMaxPeersNotifiedOfCrash = 32;

/// Maximum time that a failed attempt waits until the peers are notified of the crash.
constexpr Millis kCrashNotificationTimeout{ 150 };

void SendText(Poco::Net::HTTPServerResponse& aResponse, const std::string& aText)
{
  aResponse.setContentType("text/plain; version=0.0.4");
  aResponse.setContentLength(static_cast<std::streamsize>(aText.size()));
  aResponse.send() << aText << std::flush;
}

const std::string& FirstNonEmpty(const std::string& aPreferred, const std::string& aFallback)
{
  return aPreferred.empty() ? aFallback : aPreferred;
}

/// Writes the file that tells the parent process that this router is ready, and its addresses. The
/// file is renamed into place, so that its reader never reads a partial file.
void WriteReadyFile(const std::string& aPath,
                    const std::string& aAddress,
                    const std::string& aPeerAddress,
                    const std::string& aPeerListenAddress)
{
  if (aPath.empty()) {
    return;
  }
  const auto temporary = aPath + ".new";
  std::ofstream(temporary) << Json{ { "address", aAddress },
                                    { "peerAddress", aPeerAddress },
                                    { "peerListening", aPeerListenAddress } }
                           << "\n";
  std::rename(temporary.c_str(), aPath.c_str());
}

} // namespace

struct Router::Components
{
  Components(const Settings& aSettings, std::unique_ptr<EtcdStore> aStore)
    : mSettings(aSettings)
    , mStore(std::move(aStore))
    , mMembership(mSettings, mIncarnation, MembershipOptions{}, mClock, mMetrics)
    , mConfiguration(*mStore,
                     mClock,
                     mMetrics,
                     { mSettings.mName,
                       [this] { return LivePeers(); },
                       MakeThriftFetch(mSettings.mKeyValueTimeout) })
    , mCrashGuard({ .mBlockTime = mSettings.mRouting.mCrashBlockTime }, mClock, mIncarnation)
    , mEndpoints(mSettings.mEndpointAddresses,
                 mSettings.mRouting,
                 mSettings.mMaxEndpointStatusAge,
                 mClock,
                 &mCrashGuard,
                 StableHash(mIncarnation))
    , mBudgets(*mStore,
               mSettings.mBudget,
               mIncarnation,
               { [this] { return mConfiguration.InForce(); },
                 [this] { return LivePeers(); },
                 [this] { mPipeline.RetryParked(); } },
               mClock,
               mMetrics)
    , mIntents(*mStore, mSettings.mIntent, mIncarnation, mClock, mMetrics)
    , mPipeline([this] { return mConfiguration.InForce(); },
                mBudgets,
                mEndpoints,
                mClock,
                mSettings,
                mMetrics)
    , mCallerApi(
        mPipeline,
        mIntents,
        mEndpoints,
        [this] { return mConfiguration.InForce(); },
        mSettings,
        mClock,
        mMetrics)
    , mLoadPoller(
        mEndpoints,
        [this] { return mConfiguration.InForce(); },
        mSettings,
        mClock,
        mMetrics)
    , mAdminApi(mSettings)
    , mMemberRecords(*mStore, mMembership, MemberRecordIntervals{}, mClock, mMetrics)
    , mRoutingGossip(mCrashGuard, mEndpoints, mClock)
    , mGossipFlusher([this] { mMembership.PushGossip(kMaxPeersNotifiedOfCrash); },
                     kCrashNotificationTimeout)
  {
    const auto inForce = [this] { return mConfiguration.InForce(); };
    SetUpMembership();
    SetUpControl();
    mAdminApi.AddHandler(
      std::make_unique<ConfigurationAdmin>(mSettings, *mStore, mConfiguration, mClock, [this] {
        return ListInstanceStatus(mMembership, mClock);
      }));
    mAdminApi.AddHandler(std::make_unique<BudgetAdmin>(mBudgets, inForce));
    mAdminApi.AddHandler(std::make_unique<BurnAdmin>(mBurnCollector, inForce));
    mPipeline.SetObserver(
      [this](const Exchange& aExchange, const std::optional<Error>& aRejection) {
        mBurnCollector.RecordExchange(aExchange, aRejection);
      });
    mPeerHandlers.mRights = &mBudgets;
  }
  ~Components() { mConfiguration.Stop(); }
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;

  void HandleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse);
  void SetUpMembership();
  void SetUpControl();

  /// Returns the peers known to be alive; the peers in the settings if none is known yet.
  std::vector<PeerSettings> LivePeers() const;
  std::vector<std::string> SelectEntryPoints(std::string_view aOrganisation,
                                             std::string_view aZone) const;

  Settings mSettings;
  /// Unique identifier of this router process, never reused.
  std::string mIncarnation = MakeId(mSettings.mName);
  SystemClock mClock;
  Metrics mMetrics;
  std::unique_ptr<EtcdStore> mStore;
  MembershipService mMembership;
  ConfigurationManager mConfiguration;
  CrashGuard mCrashGuard;
  EndpointTable mEndpoints;
  BudgetManager mBudgets;
  BurnCollector mBurnCollector{ mSettings.mName, mClock };
  IntentCoordinator mIntents;
  Pipeline mPipeline;
  CallerApi mCallerApi;
  LoadPoller mLoadPoller;
  AdminApi mAdminApi;
  ConfigurationGossipSink mConfigurationGossipSink{ mConfiguration };
  MemberRecords mMemberRecords;
  RoutingGossip mRoutingGossip;
  GossipFlusher mGossipFlusher;
  std::unique_ptr<EndpointController> mControl;
  std::unique_ptr<InstanceListPoller> mInstanceListPoller;
  PeerHandlers mPeerHandlers;
  std::unique_ptr<PeerServer> mPeerServer;
  std::unique_ptr<HttpFrontend> mFrontend;
  std::string mAddress;
  std::string mPeerAddress;
  std::atomic<int> mOpenRequests{ 0 };
  std::mutex mShutdownMutex;
  std::condition_variable mShutdownWake;
  bool mIsStopping = false;
  Drain mDrain{ mSettings.mDrain };
};

void Router::Components::HandleRequest(Poco::Net::HTTPServerRequest& aRequest,
                                       Poco::Net::HTTPServerResponse& aResponse)
{
  const auto& uri = aRequest.getURI();
  const int openRequests = ++mOpenRequests;
  if (openRequests > mSettings.mServing.mMaxConnections) {
    auto error = MakeError(ErrorCode::Overloaded,
                           Step::RequestAccept,
                           "self",
                           "too many concurrent requests; retry later");
    error.mRetryAfter = std::chrono::seconds(1);
    SendError(aResponse, error, Outcome::NotRun);
  } else if (uri == "/healthz" || uri == "/readyz") {
    const bool isReady = uri == "/healthz" || mConfiguration.InForce() != nullptr;
    aResponse.setStatus(isReady ? Poco::Net::HTTPResponse::HTTP_OK
                                : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    SendText(aResponse, isReady ? "ok\n" : "no configuration is in force yet\n");
  } else if (uri == "/metrics") {
    SendText(aResponse, mMetrics.Render());
  } else if (uri.starts_with("/admin/v1/")) {
    mAdminApi.Handle(aRequest, aResponse);
  } else {
    mCallerApi.Handle(aRequest, aResponse);
  }
  --mOpenRequests;
  mShutdownWake.notify_all();
}

void Router::Components::SetUpMembership()
{
  mMembership.SetLoadSource(
    [this] { return mOpenRequests * kPermille / mSettings.mServing.mMaxConnections; });
  mMembership.SetConfigurationSource([this] { return mConfiguration.InForce(); });
  mMembership.AddSink(&mConfigurationGossipSink);
  mPeerHandlers.mMembership = &mMembership;
  mMembership.AddSource(&mRoutingGossip);
  mMembership.AddSink(&mRoutingGossip);
  mCrashGuard.SetOnObservation([this] { mGossipFlusher.FlushAndWait(); });
  mCallerApi.SetEntryPointSource([this](std::string_view aOrganisation, std::string_view aZone) {
    return SelectEntryPoints(aOrganisation, aZone);
  });
  if (mSettings.mInstanceListAddress.empty()) {
    return;
  }
  mInstanceListPoller = std::make_unique<InstanceListPoller>(
    std::make_unique<HttpInstanceList>(mSettings.mInstanceListAddress, mSettings.mKeyValueTimeout),
    mSettings.mInstanceListPollInterval,
    [this](const std::vector<ListedInstance>& aList) {
      for (const auto& it : aList) {
        mEndpoints.Update({ it.mName, it.mAddress, it.mZone, it.mIsLeaving });
        if (!mSettings.mEndpointAddresses.contains(it.mName)) {
          mControl->SetAddress(it.mName, it.mAddress);
        }
      }
    },
    mMetrics);
}

std::vector<PeerSettings> Router::Components::LivePeers() const
{
  auto out = mMembership.LivePeers();
  return out.empty() ? mSettings.mPeers : out;
}

void Router::Components::SetUpControl()
{
  ControlSources sources;
  sources.mConfiguration = [this] {
    return mConfiguration.MayControlEndpoints() ? mConfiguration.InForce()
                                                : AcceptedConfigurationPtr();
  };
  sources.mRefresh = [this] { mConfiguration.Refresh(); };
  sources.mRouters = [this] {
    std::vector<wire::MemberNews> out{ mMembership.Self() };
    for (const auto& it : mMembership.Others()) {
      if (it.mInfo.standing == wire::Standing::ALIVE) {
        out.push_back(it.mInfo);
      }
    }
    return out;
  };
  mControl = std::make_unique<EndpointController>(
    *mStore,
    std::make_unique<HttpEngineControl>(mSettings.mKeyValueTimeout),
    std::make_unique<HttpWeightStore>(mSettings.mWeightStoreAddress, mSettings.mKeyValueTimeout),
    std::move(sources),
    mMembership.Self().incarnation,
    ControlOptions{},
    mClock,
    mMetrics);
  for (const auto& [name, address] : mSettings.mEndpointAddresses) {
    mControl->SetAddress(name, address);
  }
  mAdminApi.AddHandler(std::make_unique<EndpointAdmin>(*mControl));
}

std::vector<std::string> Router::Components::SelectEntryPoints(std::string_view aOrganisation,
                                                               std::string_view aZone) const
{
  std::vector<wire::MemberNews> members{ mMembership.Self() };
  for (const auto& it : mMembership.Others()) {
    members.push_back(it.mInfo);
  }
  return ChooseEntryPoints(members, aOrganisation, aZone.empty() ? mSettings.mZone : aZone);
}

Router::Router(std::unique_ptr<Components> aComponents)
  : mComponents(std::move(aComponents))
{
}

Router::~Router() = default;

Result<std::unique_ptr<Router>> Router::Create(const Settings& aSettings)
{
  BOOST_OUTCOME_TRY(store,
                    EtcdStore::Create(aSettings.mKeyValueAddresses, aSettings.mKeyValueTimeout));
  return std::unique_ptr<Router>(
    new Router(std::make_unique<Components>(aSettings, std::move(store))));
}

Result<void> Router::Start()
{
  auto& components = *mComponents;
  components.mConfiguration.Start();
  components.mBudgets.Start();
  components.mIntents.Start();
  components.mPipeline.Start();
  components.mLoadPoller.Start();
  components.mGossipFlusher.Start();
  if (components.mInstanceListPoller) {
    components.mInstanceListPoller->Start();
  }
  components.mPeerHandlers.mConfiguration = &components.mConfiguration;
  BOOST_OUTCOME_TRY(peerServer,
                    PeerServer::Start(components.mSettings.mPeerListen,
                                      components.mPeerHandlers,
                                      kMaxPeerConnections));
  components.mPeerServer = std::move(peerServer);
  BOOST_OUTCOME_TRY(frontend,
                    HttpFrontend::Start(components.mSettings.mListen,
                                        components.mSettings.mServing,
                                        [&components](auto& aRequest, auto& aResponse) {
                                          components.HandleRequest(aRequest, aResponse);
                                        }));
  components.mFrontend = std::move(frontend);
  components.mAddress =
    FirstNonEmpty(components.mSettings.mAdvertise, components.mFrontend->Address());
  components.mPeerAddress =
    FirstNonEmpty(components.mSettings.mPeerAdvertise, components.mPeerServer->Address());
  components.mMembership.Start(components.mAddress, components.mPeerAddress);
  components.mMemberRecords.Start();
  components.mControl->Start();
  WriteReadyFile(components.mSettings.mReadyFile,
                 components.mAddress,
                 components.mPeerAddress,
                 components.mPeerServer->Address());
  LogChange(LogLevel::Info, "router", "started", { { "address", components.mAddress } });
  return success();
}

void Router::Shutdown()
{
  auto& components = *mComponents;
  LogChange(LogLevel::Info, "router", "leaving");
  components.mMembership.AnnounceLeaving();
  components.mControl->Stop();
  {
    std::unique_lock lock(components.mShutdownMutex);
    Drain& drain = components.mDrain;
    drain.OnSignal(components.mClock.Now());
    for (auto phase = drain.Phase(); phase != DrainPhase::Flushing;) {
      if (phase == DrainPhase::Draining) {
        components.mCallerApi.RejectNewRequests();
      }
      components.mShutdownWake.wait_for(lock, kDrainPollInterval);
      phase = drain.Advance(components.mClock.Now(), components.mOpenRequests);
    }
    components.mIsStopping = true;
  }
  components.mShutdownWake.notify_all();
  if (components.mFrontend) {
    components.mFrontend->StopAccepting();
  }
  if (components.mInstanceListPoller) {
    components.mInstanceListPoller->Stop();
  }
  components.mLoadPoller.Stop();
  components.mGossipFlusher.Stop();
  components.mMemberRecords.Stop();
  components.mMembership.Stop();
  components.mPipeline.Stop();
  components.mIntents.Stop();
  components.mBudgets.Stop();
  components.mConfiguration.Stop();
  LogChange(LogLevel::Info, "router", "left");
}

void Router::SkipDrainWaits()
{
  {
    const std::lock_guard lock(mComponents->mShutdownMutex);
    mComponents->mDrain.OnSignal(mComponents->mClock.Now());
  }
  mComponents->mShutdownWake.notify_all();
}

std::string Router::Address() const
{
  return mComponents->mAddress;
}

} // namespace gentianloom
