#include "gentianloom/serving/Router.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/configuration/ConfigurationManager.h"
#include "gentianloom/control/ControlDuty.h"
#include "gentianloom/external/EtcdStore.h"
#include "gentianloom/external/InstanceList.h"
#include "gentianloom/membership/EntryPoints.h"
#include "gentianloom/membership/InstanceWatch.h"
#include "gentianloom/membership/MemberRecords.h"
#include "gentianloom/membership/UrgentNews.h"
#include "gentianloom/outcome/Drain.h"
#include "gentianloom/peer/PeerServer.h"
#include "gentianloom/routing/RoutingGossip.h"
#include "gentianloom/serving/AdminFace.h"
#include "gentianloom/serving/BudgetAdmin.h"
#include "gentianloom/serving/BurnAdmin.h"
#include "gentianloom/serving/CallerFace.h"
#include "gentianloom/serving/ConfigurationAdmin.h"
#include "gentianloom/serving/ConfigurationNews.h"
#include "gentianloom/serving/EndpointAdmin.h"
#include "gentianloom/serving/HttpAnswer.h"
#include "gentianloom/serving/HttpFrontend.h"
#include "gentianloom/serving/LoadDuty.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>

namespace gentianloom {

namespace {

constexpr int kMostPeerConnections = 64;
constexpr int kPermille = 1000;
constexpr Millis kDrainPoll{ 100 };

/// Peers told of a crash at once; the others hear it along with probes.
constexpr std::size_t kMostToldOfCrash = 32;

/// Longest time that a broken attempt waits for peers to be told.
constexpr Millis kCrashNewsWait{ 150 };

void SendText(Poco::Net::HTTPServerResponse& aResponse, const std::string& aText)
{
  aResponse.setContentType("text/plain; version=0.0.4");
  aResponse.setContentLength(static_cast<std::streamsize>(aText.size()));
  aResponse.send() << aText << std::flush;
}

const std::string& OrElse(const std::string& aChosen, const std::string& aElse)
{
  return aChosen.empty() ? aElse : aChosen;
}

/// Tells whoever started the process that it serves, and where. Written whole or not at all.
void WriteReadyFile(const std::string& aPath,
                    const std::string& aAddress,
                    const std::string& aPeerAddress,
                    const std::string& aPeerListening)
{
  if (aPath.empty()) {
    return;
  }
  const auto temporary = aPath + ".new";
  std::ofstream(temporary) << Json{
    { "address", aAddress }, { "peerAddress", aPeerAddress }, { "peerListening", aPeerListening }
  } << "\n";
  std::rename(temporary.c_str(), aPath.c_str());
}

} // namespace

struct Router::Parts
{
  Parts(const Settings& aSettings, std::unique_ptr<EtcdStore> aStore)
    : mSettings(aSettings)
    , mStore(std::move(aStore))
    , mMembership(mSettings, mIncarnation, MembershipTimes{}, mClock, mMetrics)
    , mConfiguration(*mStore,
                     mClock,
                     mMetrics,
                     { mSettings.mName,
                       [this] { return LivePeers(); },
                       MakeThriftFetch(mSettings.mKeyValueTimeout) })
    , mCrashGuard({ .mBlockTime = mSettings.mRouting.mCrashBlock }, mClock, mIncarnation)
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
    , mCallers(
        mPipeline,
        mIntents,
        mEndpoints,
        [this] { return mConfiguration.InForce(); },
        mSettings,
        mClock,
        mMetrics)
    , mLoads(
        mEndpoints,
        [this] { return mConfiguration.InForce(); },
        mSettings,
        mClock,
        mMetrics)
    , mAdmin(mSettings)
    , mMemberRecords(*mStore, mMembership, MemberRecordTimes{}, mClock, mMetrics)
    , mRoutingGossip(mCrashGuard, mEndpoints, mClock)
    , mUrgentNews([this] { mMembership.TellNow(kMostToldOfCrash); }, kCrashNewsWait)
  {
    const auto inForce = [this] { return mConfiguration.InForce(); };
    WireMembership();
    WireControl();
    mAdmin.Add(
      std::make_unique<ConfigurationAdmin>(mSettings, *mStore, mConfiguration, mClock, [this] {
        return ViewInstances(mMembership, mClock);
      }));
    mAdmin.Add(std::make_unique<BudgetAdmin>(mBudgets, inForce));
    mAdmin.Add(std::make_unique<BurnAdmin>(mBurn, inForce));
    mPipeline.SetObserver([this](const Exchange& aExchange, const std::optional<Error>& aRefusal) {
      mBurn.OnEnd(aExchange, aRefusal);
    });
    mPeerHandlers.mRights = &mBudgets;
  }
  ~Parts() { mConfiguration.Stop(); }
  Parts(const Parts&) = delete;
  Parts& operator=(const Parts&) = delete;

  void Serve(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse);
  void WireMembership();
  void WireControl();

  /// Routers to ask: those that live as far as is known; before any is, those of the settings.
  std::vector<PeerSettings> LivePeers() const;
  std::vector<std::string> EntryPoints(std::string_view aOrganisation,
                                       std::string_view aZone) const;

  Settings mSettings;
  std::string mIncarnation = MakeId(mSettings.mName); ///< of this run, never used again
  SystemClock mClock;
  Metrics mMetrics;
  std::unique_ptr<EtcdStore> mStore;
  MembershipDuty mMembership;
  ConfigurationManager mConfiguration;
  CrashGuard mCrashGuard;
  EndpointTable mEndpoints;
  BudgetDuty mBudgets;
  BurnGatherer mBurn{ mSettings.mName, mClock };
  IntentCoordinator mIntents;
  Pipeline mPipeline;
  CallerFace mCallers;
  LoadDuty mLoads;
  AdminFace mAdmin;
  ConfigurationNews mConfigurationNews{ mConfiguration };
  MemberRecords mMemberRecords;
  RoutingGossip mRoutingGossip;
  UrgentNews mUrgentNews;
  std::unique_ptr<ControlDuty> mControl;
  std::unique_ptr<InstanceWatch> mInstances;
  PeerHandlers mPeerHandlers;
  std::unique_ptr<PeerServer> mPeerServer;
  std::unique_ptr<HttpFrontend> mFrontend;
  std::string mAddress;
  std::string mPeerAddress;
  std::atomic<int> mOpen{ 0 };
  std::mutex mLeaveMutex;
  std::condition_variable mLeaveWake;
  bool mStopping = false;
  Drain mDrain{ mSettings.mDrain };
};

void Router::Parts::Serve(Poco::Net::HTTPServerRequest& aRequest,
                          Poco::Net::HTTPServerResponse& aResponse)
{
  const auto& uri = aRequest.getURI();
  const int open = ++mOpen;
  if (open > mSettings.mServing.mMaxConnections) {
    auto error = MakeError(ErrorCode::Overloaded,
                           Step::RequestAccept,
                           "self",
                           "too many requests at once; come back later");
    error.mRetryAfter = std::chrono::seconds(1);
    SendError(aResponse, error, Outcome::NotRun);
  } else if (uri == "/healthz" || uri == "/readyz") {
    const bool ready = uri == "/healthz" || mConfiguration.InForce() != nullptr;
    aResponse.setStatus(ready ? Poco::Net::HTTPResponse::HTTP_OK
                              : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    SendText(aResponse, ready ? "ok\n" : "no configuration is in force yet\n");
  } else if (uri == "/metrics") {
    SendText(aResponse, mMetrics.Render());
  } else if (uri.starts_with("/admin/v1/")) {
    mAdmin.Handle(aRequest, aResponse);
  } else {
    mCallers.Handle(aRequest, aResponse);
  }
  --mOpen;
  mLeaveWake.notify_all();
}

void Router::Parts::WireMembership()
{
  mMembership.SetLoadSource(
    [this] { return mOpen * kPermille / mSettings.mServing.mMaxConnections; });
  mMembership.SetConfigurationSource([this] { return mConfiguration.InForce(); });
  mMembership.AddSink(&mConfigurationNews);
  mPeerHandlers.mMembership = &mMembership;
  mMembership.AddSource(&mRoutingGossip);
  mMembership.AddSink(&mRoutingGossip);
  mCrashGuard.SetOnNews([this] { mUrgentNews.Announce(); });
  mCallers.SetEntryPoints([this](std::string_view aOrganisation, std::string_view aZone) {
    return EntryPoints(aOrganisation, aZone);
  });
  if (mSettings.mInstanceListAddress.empty()) {
    return;
  }
  mInstances = std::make_unique<InstanceWatch>(
    std::make_unique<HttpInstanceList>(mSettings.mInstanceListAddress, mSettings.mKeyValueTimeout),
    mSettings.mInstanceListPollInterval,
    [this](const std::vector<ListedInstance>& aList) {
      for (const auto& it : aList) {
        mEndpoints.Learn({ it.mName, it.mAddress, it.mZone, it.mLeaving });
        if (!mSettings.mEndpointAddresses.contains(it.mName)) {
          mControl->SetAddress(it.mName, it.mAddress);
        }
      }
    },
    mMetrics);
}

/// Routers known to live; those of the settings until one was met.
std::vector<PeerSettings> Router::Parts::LivePeers() const
{
  auto out = mMembership.LivePeers();
  return out.empty() ? mSettings.mPeers : out;
}

void Router::Parts::WireControl()
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
      if (it.mNews.standing == wire::Standing::ALIVE) {
        out.push_back(it.mNews);
      }
    }
    return out;
  };
  mControl = std::make_unique<ControlDuty>(
    *mStore,
    std::make_unique<HttpEngineControl>(mSettings.mKeyValueTimeout),
    std::make_unique<HttpWeightStore>(mSettings.mWeightStoreAddress, mSettings.mKeyValueTimeout),
    std::move(sources),
    mMembership.Self().incarnation,
    ControlRules{},
    mClock,
    mMetrics);
  for (const auto& [name, address] : mSettings.mEndpointAddresses) {
    mControl->SetAddress(name, address);
  }
  mAdmin.Add(std::make_unique<EndpointAdmin>(*mControl));
}

std::vector<std::string> Router::Parts::EntryPoints(std::string_view aOrganisation,
                                                    std::string_view aZone) const
{
  std::vector<wire::MemberNews> members{ mMembership.Self() };
  for (const auto& it : mMembership.Others()) {
    members.push_back(it.mNews);
  }
  return ChooseEntryPoints(members, aOrganisation, aZone.empty() ? mSettings.mZone : aZone);
}

Router::Router(std::unique_ptr<Parts> aParts)
  : mParts(std::move(aParts))
{
}

Router::~Router() = default;

Result<std::unique_ptr<Router>> Router::Create(const Settings& aSettings)
{
  BOOST_OUTCOME_TRY(store,
                    EtcdStore::Create(aSettings.mKeyValueAddresses, aSettings.mKeyValueTimeout));
  return std::unique_ptr<Router>(new Router(std::make_unique<Parts>(aSettings, std::move(store))));
}

Result<void> Router::Start()
{
  auto& parts = *mParts;
  parts.mConfiguration.Start();
  parts.mBudgets.Start();
  parts.mIntents.Start();
  parts.mPipeline.Start();
  parts.mLoads.Start();
  parts.mUrgentNews.Start();
  if (parts.mInstances) {
    parts.mInstances->Start();
  }
  parts.mPeerHandlers.mConfiguration = &parts.mConfiguration;
  BOOST_OUTCOME_TRY(
    peerServer,
    PeerServer::Start(parts.mSettings.mPeerListen, parts.mPeerHandlers, kMostPeerConnections));
  parts.mPeerServer = std::move(peerServer);
  BOOST_OUTCOME_TRY(frontend,
                    HttpFrontend::Start(parts.mSettings.mListen,
                                        parts.mSettings.mServing,
                                        [&parts](auto& aRequest, auto& aResponse) {
                                          parts.Serve(aRequest, aResponse);
                                        }));
  parts.mFrontend = std::move(frontend);
  parts.mAddress = OrElse(parts.mSettings.mAdvertise, parts.mFrontend->Address());
  parts.mPeerAddress = OrElse(parts.mSettings.mPeerAdvertise, parts.mPeerServer->Address());
  parts.mMembership.Start(parts.mAddress, parts.mPeerAddress);
  parts.mMemberRecords.Start();
  parts.mControl->Start();
  WriteReadyFile(
    parts.mSettings.mReadyFile, parts.mAddress, parts.mPeerAddress, parts.mPeerServer->Address());
  LogChange(LogLevel::Info, "router", "started", { { "address", parts.mAddress } });
  return success();
}

void Router::Leave()
{
  auto& parts = *mParts;
  LogChange(LogLevel::Info, "router", "leaving");
  parts.mMembership.AnnounceLeaving();
  parts.mControl->Stop();
  {
    std::unique_lock lock(parts.mLeaveMutex);
    Drain& drain = parts.mDrain;
    drain.OnSignal(parts.mClock.Now());
    for (auto phase = drain.Phase(); phase != DrainPhase::Flushing;) {
      if (phase == DrainPhase::Draining) {
        parts.mCallers.RefuseNew();
      }
      parts.mLeaveWake.wait_for(lock, kDrainPoll);
      phase = drain.Advance(parts.mClock.Now(), parts.mOpen);
    }
    parts.mStopping = true;
  }
  parts.mLeaveWake.notify_all();
  if (parts.mFrontend) {
    parts.mFrontend->StopAccepting();
  }
  if (parts.mInstances) {
    parts.mInstances->Stop();
  }
  parts.mLoads.Stop();
  parts.mUrgentNews.Stop();
  parts.mMemberRecords.Stop();
  parts.mMembership.Stop();
  parts.mPipeline.Stop();
  parts.mIntents.Stop();
  parts.mBudgets.Stop();
  parts.mConfiguration.Stop();
  LogChange(LogLevel::Info, "router", "left");
}

void Router::Hurry()
{
  {
    const std::lock_guard lock(mParts->mLeaveMutex);
    mParts->mDrain.OnSignal(mParts->mClock.Now());
  }
  mParts->mLeaveWake.notify_all();
}

std::string Router::Address() const
{
  return mParts->mAddress;
}

} // namespace gentianloom
