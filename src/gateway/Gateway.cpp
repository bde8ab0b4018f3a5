#include "gentianloom/gateway/Gateway.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/net/ConnectionProbe.h"
#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/HttpService.h"
#include "gentianloom/net/HttpStatus.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <utility>

namespace gentianloom {

namespace {

/// Share of the key-value service's write capacity that budget rights may use.
constexpr double kRightsWriteShare = 0.6;
/// Maximum wait of one watch. A silent connection is detected after this time and the margin of the
/// call (600 ms), which must be well below the 3 s after which a version has to be in force, and
/// the 5 s after which an evacuation has to be.
constexpr PrefixWatchTiming kOperatorWatch{ Millis(1'700) };
/// Many endpoints change at once when a service is replaced or a rack is lost.
constexpr PrefixWatchTiming kEndpointWatch{ Millis(1'700), Millis(250) };
/// For the list of instances. A watch whose connection was lost without a sign ends by its timeout
/// only, and instances that have ended must be out of the address answers 7 s later: 3 s for their
/// lease, or this time, and 2.5 s of InstanceDirectory::kReregistrationGrace. All instances write
/// their records when the key-value service comes back, and each write would end a watch of every
/// instance.
constexpr PrefixWatchTiming kInstanceWatch{ Millis(2'500), Millis(500) };
/// Time after the start of a process until which the instances that started together are listed.
constexpr Millis kInstancesListedAfter{ 1'500 };
/// An endpoint that does not accept a connection within this time, or closes it within this time,
/// counts as ended.
constexpr Millis kProbeTimeout{ 300 };
/// Interval at which idle connections and expired endpoint entries are removed.
constexpr Millis kHousekeepingInterval{ 250 };
/// Share of GatewaySettings::mRetryShare that is used; leaves a margin for changes of the fleet
/// size.
constexpr double kRetrySafetyFactor = 0.5;
/// Callers may use cached addresses for up to this multiple of the stated TTL.
constexpr int kAddressTtlMultiple = 3;
/// Maximum share of the termination grace period during which new requests are accepted.
constexpr double kAcceptingShare = 0.35;
/// Time reserved at the end of the termination grace period to return budget rights.
constexpr Millis kRightsReturnTime{ 1'000 };
/// Time for the last responses to reach the operating system.
constexpr Millis kLastResponsesTime{ 200 };
constexpr Millis kShutdownPollInterval{ 50 };
constexpr double kBytesPerMbit = 1e6 / 8;

/// Returns the boot ID of the operating system; empty if it cannot be read.
std::string ReadBootId()
{
  std::ifstream in("/proc/sys/kernel/random/boot_id");
  std::string out;
  std::getline(in, out);
  return out;
}

BudgetSettings MakeRightsSettings(const GatewaySettings& aSettings)
{
  BudgetSettings out;
  out.mPolicy = "outage";
  out.mDemandWindow = aSettings.mRightsDemandWindow;
  out.mDemandTimeConstant = Millis(8'000);
  out.mMinKeptTime = Millis(0);
  out.mCommitInterval = Millis(60);
  out.mChargeInterval = Millis(4'000);
  out.mFleetWritesPerSecond = std::max<std::int64_t>(
    1, static_cast<std::int64_t>(aSettings.mStoreWritesPerSecond * kRightsWriteShare));
  return out;
}

} // namespace

Gateway::Gateway(net::Loop& aLoop,
                 GatewaySettings aSettings,
                 const PlatformProtocol& aProtocol,
                 AsyncStore& aStore,
                 const Clock& aClock)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mProtocol(aProtocol)
  , mStore(aStore)
  , mClock(aClock)
  , mCallerMemory(MakeCallerMemoryLimits(mSettings, ReadDescriptorLimit()), aClock)
  , mCallerMemoryMonitor(mCallerMemory, mMetrics)
  , mLinkBudget(mSettings.mLinkMbps * kBytesPerMbit)
  , mLoopMonitor(aLoop, aClock, mMetrics)
  , mSelf{ mSettings.mInstance,      MakeId("run"),          mSettings.mZone,
           mSettings.mCallerAddress, mSettings.mPeerAddress, false }
  , mBudgetKeepers(
      mSettings.mPeerAddress,
      [this] { return mInstances.ServingPeerAddresses(mSelf.mName, mClock.Now()); },
      aClock)
  , mRights(aLoop,
            aStore,
            MakeRightsSettings(mSettings),
            { mSelf.mName, mSelf.mIncarnation, ReadBootId() },
            MakeRightsLinks(),
            aClock,
            mMetrics)
  , mPeerSocket(aLoop, aClock, mMetrics)
  , mBudgetExchange(aLoop, mPeerSocket, mBudgetKeepers, mRights, aClock, mMetrics)
  , mRelay{ aLoop,
            aClock,
            mMetrics,
            aProtocol.Codec(),
            mSettings.mZone,
            nullptr,
            {},
            {},
            ConnectionPool(aLoop, aClock),
            mBudgetExchange,
            RetryBudgets(mSettings.mRetryShare * kRetrySafetyFactor,
                         ComputeRetryBurst(mSettings.mRetrySlack, 1)) }
  , mPeerLoadExchange(
      aLoop,
      mPeerSocket,
      mSelf.mIncarnation,
      [this] { return mInstances.PeerAddresses(mSelf.mName); },
      mRelay.mEndpoints,
      mRelay.mContacts,
      aClock,
      mMetrics,
      &mRelay.mEvenLoad)
  , mStreamOrigins(
      aLoop,
      mPeerSocket,
      [this] { return mInstances.PeerAddresses(mSelf.mName); },
      aClock,
      mMetrics)
  , mEndpointEnds(
      aLoop,
      mPeerSocket,
      mSettings.mPeerAddress,
      [this] { return mInstances.PeerAddresses(mSelf.mName); },
      aClock,
      mMetrics)
  , mCrashReports(
      aLoop,
      mPeerSocket,
      mSettings.mPeerAddress,
      [this] { return mInstances.PeerAddresses(mSelf.mName); },
      [this](std::string aAddress) { return ProbeEndpoint(std::move(aAddress)); },
      mEndpointEnds,
      aStore,
      aClock,
      mMetrics)
  , mEndpointLimits(aLoop,
                    mPeerSocket,
                    mSettings.mPeerAddress,
                    [this] { return mInstances.PeerAddresses(mSelf.mName); },
                    mRelay.mEndpoints,
                    aClock,
                    mMetrics,
                    { mSettings.mWarmUpBound, [this] { return AreInstancesListed(); } })
  , mWatchRelay(
      mPeerSocket,
      mSettings.mPeerAddress,
      [this] { return mInstances.ServingPeerAddresses(mSelf.mName, mClock.Now(), mSelf.mZone); },
      aClock,
      mMetrics)
  , mEndpointContact(aLoop,
                     mRelay.mEndpoints,
                     mRelay.mContacts,
                     mRelay.mConnections,
                     aClock,
                     mMetrics)
  , mForwardingPeers(
      [this](std::string_view aZone) {
        return mInstances.ServingPeerAddresses(mSelf.mName, mClock.Now(), aZone);
      },
      mSettings.mZone,
      aClock)
  , mCallerServer(mRelay)
  , mPeerServer(mRelay,
                [this](const std::string& aHost) {
                  return mInstances.HasHost(aHost) ? RequestSource::Peer
                                                   : RequestSource::UnknownPeer;
                })
  , mOperatorWatcher(aLoop,
                     aStore,
                     aProtocol.OperatorPrefix(),
                     kOperatorWatch,
                     MakeOperatorHandlers(),
                     &mWatchRelay,
                     aClock,
                     mMetrics)
  , mEndpointWatcher(aLoop,
                     aStore,
                     aProtocol.EndpointPrefix(),
                     kEndpointWatch,
                     MakeEndpointHandlers(),
                     &mWatchRelay,
                     aClock,
                     mMetrics)
  , mInstanceWatcher(aLoop,
                     aStore,
                     std::string(kInstancePrefix),
                     kInstanceWatch,
                     MakeInstanceHandlers(),
                     &mWatchRelay,
                     aClock,
                     mMetrics)
  // Listed only after the takeover of the predecessor's rights: this instance's record replaces
  // that of the predecessor, from which the takeover determines when that process ended.
  , mRegistration(aLoop, aStore, mSelf, [this] { return IsReady() && mRights.HasTakenOver(); })
  , mVersionRecord(aLoop, aStore, mRelay.mVersionHistory, aClock)
  , mTrafficLog(aLoop,
                { [this] { return mStore.Bytes(); },
                  [this] { return mPeerSocket.Bytes(); },
                  [this] { return mRelay.mOpenRequests; },
                  [this] { return mStore.Calls(); },
                  mRelay.mCallerTraffic,
                  mRelay.mEndpointTraffic,
                  mRelay.mInstanceTraffic,
                  [this] { return mLoopMonitor.TakeLongestDelay(); },
                  [this] { return mPeerSocket.TakeLongestQueueTime(); },
                  [this] { return std::exchange(mOldestView, Millis(0)); } },
                mMetrics)
{
  mRelay.mCallerMemory = &mCallerMemory;
  mRelay.mRegions = ZoneRegions(mSettings.mRegionOfZone);
  mRelay.mStreamOrigins = &mStreamOrigins;
  mRelay.mRecordedVersions = &mVersionRecord;
  mRelay.mGuard = &mCrashReports;
  mRelay.mPermits = &mEndpointLimits;
  mRelay.mEvenLoad = EvenLoadSwitch(mSettings.mEvenLoad);
  mRelay.mPeers = mSettings.mPeerAddress.empty() ? nullptr : &mForwardingPeers;
  mRelay.mEndpoints.OnNewProcess(
    [this](const std::string& aAddress) { mCrashReports.OnNewProcess(aAddress); });
}

GrantDependencies Gateway::MakeRightsLinks()
{
  GrantDependencies out;
  out.mConfiguredBudget = [this](const std::string& aName) {
    const auto* account = mRelay.mRoutes ? mRelay.mRoutes->AccountByName(aName) : nullptr;
    return account == nullptr || !account->mPrepaid
             ? ConfiguredBudget{}
             : ConfiguredBudget{ *account->mPrepaid, mRelay.mRoutes->Version() };
  };
  out.mInstanceCount = [this] { return mInstances.Size(mSelf.mName); };
  out.mBudgets = [this] { return KeptBudgets(); };
  return out;
}

std::vector<std::string> Gateway::KeptBudgets()
{
  std::vector<std::string> out;
  if (!mRelay.mRoutes || !mInstanceWatcher.HasSynced()) {
    return out;
  }
  // Of instances that start together, each would count as the keeper of all budgets at first.
  const bool areInstancesListed = AreInstancesListed();
  for (auto& it : mRelay.mRoutes->PrepaidOrganisations()) {
    const bool isInUse = mRights.Holdings().contains(it);
    if ((areInstancesListed || isInUse) && mBudgetKeepers.IsKeeper(it)) {
      out.push_back(std::move(it));
    }
  }
  return out;
}

bool Gateway::AreInstancesListed() const
{
  return mInstanceWatcher.HasSynced() && mClock.Now() - mStartedAt >= kInstancesListedAfter;
}

Result<void> Gateway::Start()
{
  mStartedAt = mClock.Now();
  const auto callers = net::ParseSocketAddress(mSettings.mCallerAddress);
  if (!callers) {
    return callers.error();
  }
  BOOST_OUTCOME_TRY(mCallerServer.Start(callers.value(), MakeAcceptPolicy()));
  BOOST_OUTCOME_TRY(ServeAuxiliaryHttp());
  if (!mSettings.mPeerAddress.empty()) {
    BOOST_OUTCOME_TRY(mPeerSocket.Start(mSettings.mPeerAddress));
    const auto peers = net::ParseSocketAddress(mSettings.mPeerAddress);
    if (!peers) {
      return peers.error();
    }
    BOOST_OUTCOME_TRY(mPeerServer.Start(peers.value()));
    mPeerLoadExchange.Start();
    mStreamOrigins.Start();
    mWatchRelay.Start();
    mBudgetExchange.Start();
    mEndpointEnds.Start();
    mCrashReports.Start();
    mEndpointLimits.Start();
    mRelay.mOnPendingTokensChanged = [this] { mPeerLoadExchange.NotifyChange(); };
  }
  mOperatorWatcher.Start();
  mEndpointWatcher.Start();
  mInstanceWatcher.Start();
  mRights.Start();
  mRegistration.Start();
  mVersionRecord.Start();
  mEndpointContact.Start();
  net::Start(mLoop, "housekeeping", RunHousekeeping());
  mTrafficLog.Start();
  mLoopMonitor.Start();
  LogChange(LogLevel::Info,
            "gateway",
            "started",
            { { "incarnation", mSelf.mIncarnation },
              { "zone", mSelf.mZone },
              { "caller_address", mSettings.mCallerAddress } });
  return success();
}

Result<void> Gateway::ServeAuxiliaryHttp()
{
  struct AuxiliaryService
  {
    const std::string& mAddress;
    net::ServiceHandler mHandler;
  };
  const std::array<AuxiliaryService, 3> services = {
    AuxiliaryService{ mSettings.mReadinessAddress,
                      [this](const auto&) { return HandleReadinessCheck(); } },
    AuxiliaryService{ mSettings.mDirectoryAddress,
                      [this](const auto& it) { return HandleAddressQuery(it); } },
    AuxiliaryService{ mSettings.mMetricsAddress,
                      [this](const auto&) {
                        return net::ServiceReply{ net::kOk, "text/plain", mMetrics.Render() };
                      } }
  };
  for (const auto& it : services) {
    if (it.mAddress.empty()) {
      continue;
    }
    const auto address = net::ParseSocketAddress(it.mAddress);
    if (!address) {
      return address.error();
    }
    BOOST_OUTCOME_TRY(net::ServeHttp(mLoop, address.value(), &mCallerMemory, it.mHandler));
  }
  return success();
}

net::Task<bool> Gateway::ProbeEndpoint(std::string aAddress)
{
  const bool isAlive = co_await net::KeepsConnectionOpen(mLoop, aAddress, kProbeTimeout);
  if (isAlive) {
    co_return true;
  }
  mRelay.mEndpoints.SuspendAddress(aAddress, mClock.Now());
  // An instance that reaches no endpoint knows of none that it has ended.
  const auto service = mRelay.mEndpoints.ServiceAt(aAddress);
  const bool isContact = co_await mEndpointContact.Check(service);
  co_return !isContact;
}

bool Gateway::IsReady() const
{
  // The records of the instances hold the blocked requests as well.
  return mRelay.mRoutes != nullptr && mEndpointWatcher.HasSynced() &&
         mInstanceWatcher.HasSynced() && mVersionRecord.HasRead() && !mSelf.mIsLeaving;
}

net::ServiceReply Gateway::HandleReadinessCheck() const
{
  return IsReady() ? net::ServiceReply{ net::kOk, "text/plain", "ready\n" }
                   : net::ServiceReply{ net::kUnavailable, "text/plain", "not ready\n" };
}

RegionPreference Gateway::MakeRegionPreference(const AddressQuery& aQuery) const
{
  RegionPreference out;
  out.mRegions = mRelay.mRegions;
  const auto region = mRelay.mRegions.RegionOf(aQuery.mZone);
  out.mCallerRegion = aQuery.mRegion.empty() ? std::string(region) : aQuery.mRegion;
  if (mRelay.mRoutes) {
    out.mAllowed = mRelay.mRoutes->RegionsOf(aQuery.mHost);
  }
  return out;
}

net::ServiceReply Gateway::HandleAddressQuery(const net::ServiceRequest& aRequest) const
{
  // SelectAddresses() omits an instance that is leaving, so an instance that is not ready is marked
  // as leaving.
  auto self = mSelf;
  self.mIsLeaving = !IsReady();
  const auto query = mProtocol.DecodeAddressQuery(aRequest.mHead.mTarget);
  const auto addresses = mInstances.SelectAddresses(
    self, query.mZone, aRequest.mPeerHost, mClock.Now(), MakeRegionPreference(query));
  if (addresses.empty()) {
    return { net::kUnavailable, "text/plain", "no instance is ready\n" };
  }
  return { net::kOk,
           "application/json",
           mProtocol.EncodeAddresses(addresses, mSettings.mAddressTtl) };
}

AcceptPolicy Gateway::MakeAcceptPolicy()
{
  if (mSettings.mLinkMbps <= 0) {
    return {};
  }
  return { mLinkBudget.Backlog(), [this] {
            const auto now = mClock.Now();
            mLinkBudget.OnTotal(ReceivedBytes(), now);
            const auto out = mLinkBudget.TimeUntilAccept(now);
            if (out <= Micros(0)) {
              mLinkBudget.OnAccept(now);
            } else {
              mMetrics.CounterOf("gentianloom_accept_pauses_total").Add();
            }
            return out;
          } };
}

std::uint64_t Gateway::ReceivedBytes() const
{
  auto out = mStore.Bytes().mReceived + mPeerSocket.Bytes().mReceived;
  for (const auto* it :
       { &mRelay.mCallerTraffic, &mRelay.mEndpointTraffic, &mRelay.mInstanceTraffic }) {
    out += it->mReceived + it->mConnections * net::LinkBudget::kConnectionBytes;
  }
  return out;
}

net::Task<void> Gateway::RunHousekeeping()
{
  while (true) {
    ObserveSoftwareVersions();
    mRelay.mEndpoints.RemoveExpired(mClock.Now());
    if (!mStore.Contact().HadOutageWithin(UnconfirmedEntries::kConfirmationTime, mClock.Now())) {
      mRelay.mEndpoints.AcceptConfirmed(mEndpointWatcher.ConfirmedUntil(), mClock.Now());
    }
    ChangeEvacuatedZones([this](EvacuatedZones& it) { it.RemoveExpired(mClock.Now()); });
    mEndpointLimits.ReportWarmUps();
    mInstances.RemoveExpired(mClock.Now());
    mRelay.mConnections.Prune();
    mRelay.mRetryBudgets.SetBurst(
      ComputeRetryBurst(mSettings.mRetrySlack, mInstances.Size(mSelf.mName)));
    mMetrics.GaugeOf("gentianloom_open_requests").Set(mRelay.mOpenRequests);
    mCallerMemoryMonitor.Report(mClock.Now());
    for (auto* it : { &mOperatorWatcher, &mEndpointWatcher, &mInstanceWatcher }) {
      mOldestView = std::max(mOldestView, it->ReportAge());
    }
    co_await net::Signal::Sleep(mLoop, kHousekeepingInterval);
  }
}

void Gateway::Reload(const GatewaySettings& aSettings)
{
  mSettings.mTerminationGracePeriod = aSettings.mTerminationGracePeriod;
  mSettings.mAddressTtl = aSettings.mAddressTtl;
  LogChange(LogLevel::Info,
            "gateway",
            "settings were reloaded",
            { { "leave_time_ms", std::to_string(mSettings.mTerminationGracePeriod.count()) },
              { "address_life_ms", std::to_string(mSettings.mAddressTtl.count()) } });
}

void Gateway::BeginShutdown()
{
  if (!mSelf.mIsLeaving) {
    mSelf.mIsLeaving = true;
    mRelay.mIsLeaving = true;
    mRegistration.Wake();
    net::Start(mLoop, "shutdown", RunShutdown());
  }
}

bool Gateway::HasOpenWork() const
{
  return mRelay.mOpenRequests > 0 || mBudgetExchange.OpenRemoteReservations() > 0 ||
         mCallerServer.HasUnsentBytes() || mPeerServer.HasUnsentBytes();
}

net::Task<void> Gateway::RunShutdown()
{
  const auto shutdownStart = mClock.Now();
  LogChange(LogLevel::Info,
            "gateway",
            "shutting down",
            { { "open_requests", std::to_string(mRelay.mOpenRequests) } });
  const auto serveUntil = shutdownStart + mSettings.mTerminationGracePeriod - kRightsReturnTime;
  mRelay.mServesUntil = serveUntil;
  const auto maxAcceptingTime =
    std::chrono::duration_cast<Micros>(mSettings.mTerminationGracePeriod * kAcceptingShare);
  const auto acceptUntil =
    shutdownStart + std::min<Micros>(mSettings.mAddressTtl * kAddressTtlMultiple, maxAcceptingTime);
  while (mClock.Now() < std::min(acceptUntil, serveUntil)) {
    co_await net::Signal::Sleep(mLoop, kShutdownPollInterval);
  }
  mRelay.mRejectsNewRequests = true;
  while (mClock.Now() < serveUntil && HasOpenWork()) {
    co_await net::Signal::Sleep(mLoop, kShutdownPollInterval);
  }
  mPeerServer.NotifyRequests();
  mCallerServer.NotifyRequests();
  while (mClock.Now() < serveUntil + kLastResponsesTime && HasOpenWork()) {
    co_await net::Signal::Sleep(mLoop, kShutdownPollInterval);
  }
  mBudgetExchange.SettleRemoteReservations();
  co_await mRights.Close(mClock.Now() + kRightsReturnTime / 2);
  co_await mRegistration.Revoke();
  LogChange(LogLevel::Info,
            "gateway",
            "stopped",
            { { "open_requests", std::to_string(mRelay.mOpenRequests) } });
  mLoop.stop();
}

} // namespace gentianloom
