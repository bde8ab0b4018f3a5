#include "gentianloom/gateway/Gateway.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/HttpService.h"

#include <algorithm>
#include <array>
#include <fstream>

namespace gentianloom {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Part of the writes that the key-value service takes that rights may use.
constexpr double kWritesForRights = 0.6;
/// Longest wait of one watch; bounds how long a silent connection goes unnoticed.
constexpr Millis kWatchWait{ 2'200 };
/// As above for the list of instances, which is not urgent.
constexpr Millis kInstanceWatchWait{ 8'000 };
/// Life of the lease of an instance's key, and how often it is renewed.
constexpr Millis kLeaseLife{ 3'000 };
constexpr Millis kLeaseRenewal{ 1'000 };
constexpr Millis kLeaseRetry{ 200 };
/// How often idle connections and vanished entries are looked at.
constexpr Millis kHousekeeping{ 250 };
/// Part of the retries for each request that is used, for changes of the fleet's size.
constexpr double kRetryCaution = 0.5;
/// Callers keep an answer with addresses up to so many times its stated life.
constexpr int kAddressLives = 3;
/// Part of the time before the kill in which new requests are still taken.
constexpr double kTakingShare = 0.35;
/// Time before the kill in which rights are returned.
constexpr Millis kCloseTime{ 1'000 };
constexpr Millis kLeavePoll{ 50 };

/// Identifier of the machine's boot; empty if the system states none.
std::string ReadBootId()
{
  std::ifstream in("/proc/sys/kernel/random/boot_id");
  std::string out;
  std::getline(in, out);
  return out;
}

BudgetSettings RightsSettings(const GatewaySettings& aSettings)
{
  BudgetSettings out;
  out.mPolicy = "outage";
  out.mDemandWindow = aSettings.mRightsWindow;
  out.mDemandTimeConstant = Millis(8'000);
  out.mMinKeptTime = Millis(0);
  out.mCommitInterval = Millis(60);
  out.mChargeInterval = Millis(4'000);
  out.mFleetWritesPerSecond =
    std::max<std::int64_t>(1, static_cast<std::int64_t>(aSettings.mStoreWrites * kWritesForRights));
  return out;
}

} // namespace

Gateway::Gateway(net::Loop& aLoop,
                 GatewaySettings aSettings,
                 const Deployment& aDeployment,
                 AsyncStore& aStore,
                 const Clock& aClock)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mDeployment(aDeployment)
  , mStore(aStore)
  , mClock(aClock)
  , mSelf{ mSettings.mInstance,      MakeId("run"),          mSettings.mZone,
           mSettings.mCallerAddress, mSettings.mPeerAddress, false }
  , mRights(aLoop,
            aStore,
            RightsSettings(mSettings),
            { mSelf.mName, mSelf.mIncarnation, ReadBootId() },
            MakeRightsLinks(),
            aClock,
            mMetrics)
  , mParts{ aLoop,
            aClock,
            mMetrics,
            aDeployment.Codec(),
            mSettings.mZone,
            nullptr,
            {},
            {},
            ConnectionPool(aLoop, aClock),
            mRights,
            RetryBudget(mSettings.mRetryShare * kRetryCaution,
                        ComputeRetryBurst(mSettings.mRetrySlack, 1)) }
  , mLoadNews(
      aLoop,
      mSelf.mIncarnation,
      [this] { return mInstances.PeerAddresses(mSelf.mName); },
      mParts.mEndpoints,
      aClock,
      mMetrics)
  , mCallers(mParts)
  , mConfigurationFollower(aLoop,
                           aStore,
                           aDeployment.ConfigurationKey(),
                           kWatchWait,
                           ConfigurationSink(),
                           aClock,
                           mMetrics)
  , mEndpointFollower(aLoop,
                      aStore,
                      aDeployment.EndpointPrefix(),
                      kWatchWait,
                      EndpointSink(),
                      aClock,
                      mMetrics)
  , mInstanceFollower(aLoop,
                      aStore,
                      std::string(kInstancePrefix),
                      kInstanceWatchWait,
                      InstanceSink(),
                      aClock,
                      mMetrics)
{
}

RightsLinks Gateway::MakeRightsLinks()
{
  RightsLinks out;
  out.mStated = [this](const std::string& aName) {
    const auto* payer = mParts.mRoutes ? mParts.mRoutes->PayerNamed(aName) : nullptr;
    return payer == nullptr || !payer->mPrepaid
             ? StatedBudget{}
             : StatedBudget{ *payer->mPrepaid, mParts.mRoutes->Version() };
  };
  out.mInstances = [this] { return mInstances.Size(mSelf.mName); };
  out.mBudgets = [this] {
    return mParts.mRoutes ? mParts.mRoutes->LimitedPayers() : std::vector<std::string>();
  };
  return out;
}

FollowerSink Gateway::ConfigurationSink()
{
  FollowerSink out;
  out.mOnSnapshot = [this](const std::vector<KeyValue>& aEntries, StoreCondition) {
    for (const auto& it : aEntries) {
      OnConfiguration(it);
    }
  };
  out.mOnEvents = [this](const std::vector<WatchEvent>& aEvents, StoreCondition) {
    for (const auto& it : aEvents) {
      if (!it.mDeleted) {
        OnConfiguration(it.mEntry);
      }
    }
  };
  return out;
}

FollowerSink Gateway::EndpointSink()
{
  FollowerSink out;
  out.mOnSnapshot = [this](const std::vector<KeyValue>& aEntries, StoreCondition aCondition) {
    std::vector<EndpointEntry> list;
    const auto prefix = mDeployment.EndpointPrefix().size();
    for (const auto& it : aEntries) {
      auto entry = mDeployment.DecodeEndpoint(it.mKey.substr(prefix), it.mValue);
      if (entry) {
        list.push_back(std::move(entry.value()));
      }
    }
    LogChange(LogLevel::Info,
              "endpoints",
              "the list of endpoints was read",
              { { "entries", std::to_string(aEntries.size()) },
                { "usable", std::to_string(list.size()) } });
    const bool mayHaveLapsed = aCondition == StoreCondition::AfterOutage;
    mParts.mEndpoints.Replace(std::move(list), mayHaveLapsed, mClock.Now());
  };
  out.mOnEvents = [this](const std::vector<WatchEvent>& aEvents, StoreCondition aCondition) {
    for (const auto& it : aEvents) {
      if (!it.mDeleted) {
        PutEndpoint(it.mEntry);
        continue;
      }
      const auto id = it.mEntry.mKey.substr(mDeployment.EndpointPrefix().size());
      LogChange(
        LogLevel::Info, "endpoints", "an endpoint's entry vanished", { { "endpoint", id } });
      mParts.mEndpoints.Remove(id, aCondition == StoreCondition::AfterOutage, mClock.Now());
    }
  };
  return out;
}

FollowerSink Gateway::InstanceSink()
{
  FollowerSink out;
  out.mOnSnapshot = [this](const std::vector<KeyValue>& aEntries, StoreCondition aCondition) {
    std::vector<InstanceRecord> list;
    for (const auto& it : aEntries) {
      auto record = ParseInstanceRecord(it.mValue);
      if (record) {
        list.push_back(std::move(record.value()));
      }
    }
    const bool mayHaveLapsed = aCondition == StoreCondition::AfterOutage;
    mInstances.Replace(std::move(list), mayHaveLapsed, mClock.Now());
  };
  out.mOnEvents = [this](const std::vector<WatchEvent>& aEvents, StoreCondition aCondition) {
    for (const auto& it : aEvents) {
      if (!it.mDeleted) {
        PutInstance(it.mEntry);
        continue;
      }
      mInstances.Remove(it.mEntry.mKey.substr(kInstancePrefix.size()),
                        aCondition == StoreCondition::AfterOutage,
                        mClock.Now());
    }
  };
  return out;
}

Result<void> Gateway::Start()
{
  const auto callers = net::ParseEndpoint(mSettings.mCallerAddress);
  if (!callers) {
    return callers.error();
  }
  BOOST_OUTCOME_TRY(mCallers.Start(callers.value()));
  BOOST_OUTCOME_TRY(ServeSmallCalls());
  if (!mSettings.mPeerAddress.empty()) {
    BOOST_OUTCOME_TRY(mLoadNews.Start(mSettings.mPeerAddress));
    mParts.mOnPendingTokensChanged = [this] { mLoadNews.OnChange(); };
  }
  mConfigurationFollower.Start();
  mEndpointFollower.Start();
  mInstanceFollower.Start();
  mRights.Start();
  net::Start(mLoop, "lease", KeepLease());
  net::Start(mLoop, "housekeeping", Housekeep());
  LogChange(LogLevel::Info,
            "gateway",
            "started",
            { { "incarnation", mSelf.mIncarnation },
              { "zone", mSelf.mZone },
              { "callers", mSettings.mCallerAddress } });
  return success();
}

Result<void> Gateway::ServeSmallCalls()
{
  struct Service
  {
    const std::string& mAddress;
    net::ServiceHandler mHandler;
  };
  const std::array<Service, 3> services = {
    Service{ mSettings.mReadinessAddress, [this](const auto&) { return AnswerReadiness(); } },
    Service{ mSettings.mDirectoryAddress, [this](const auto& it) { return AnswerAddresses(it); } },
    Service{ mSettings.mMetricsAddress,
             [this](const auto&) {
               return net::ServiceReply{ kOk, "text/plain", mMetrics.Render() };
             } }
  };
  for (const auto& it : services) {
    if (it.mAddress.empty()) {
      continue;
    }
    const auto address = net::ParseEndpoint(it.mAddress);
    if (!address) {
      return address.error();
    }
    BOOST_OUTCOME_TRY(net::ServeCalls(mLoop, address.value(), it.mHandler));
  }
  return success();
}

void Gateway::OnConfiguration(const KeyValue& aEntry)
{
  auto decoded = mDeployment.DecodeConfiguration(aEntry.mValue);
  if (!decoded) {
    LogChange(LogLevel::Error,
              "configuration",
              "the stored configuration cannot be read; the one in force stays",
              { { "why", ToString(decoded.error()) } });
    return;
  }
  const auto version = decoded.value().mVersion;
  const auto known = mParts.mRoutes ? mParts.mRoutes->Version() : -1;
  if (version <= known) {
    LogChange(LogLevel::Warning,
              "configuration",
              "a version that is not newer was passed over",
              { { "version", std::to_string(version) }, { "in_force", std::to_string(known) } });
    return;
  }
  mParts.mRoutes = RouteTable::Create(std::move(decoded.value()));
  mMetrics.GaugeOf("gentianloom_configuration_version").Set(version);
  mRights.Wake();
  LogChange(LogLevel::Info,
            "configuration",
            "a version is in force",
            { { "version", std::to_string(version) },
              { "before", std::to_string(known) },
              { "revision", std::to_string(aEntry.mModRevision) } });
}

void Gateway::PutEndpoint(const KeyValue& aEntry)
{
  const auto id = aEntry.mKey.substr(mDeployment.EndpointPrefix().size());
  auto entry = mDeployment.DecodeEndpoint(id, aEntry.mValue);
  if (!entry) {
    LogChange(LogLevel::Warning,
              "endpoints",
              "an entry names no endpoint that can be used",
              { { "endpoint", id }, { "why", ToString(entry.error()) } });
    mParts.mEndpoints.Remove(id, false, mClock.Now());
    return;
  }
  LogChange(LogLevel::Info,
            "endpoints",
            "an endpoint's entry changed",
            { { "endpoint", id },
              { "service", entry.value().mService },
              { "leaving", entry.value().mIsLeaving ? "yes" : "no" } });
  mParts.mEndpoints.Put(std::move(entry.value()), mClock.Now());
}

void Gateway::PutInstance(const KeyValue& aEntry)
{
  auto record = ParseInstanceRecord(aEntry.mValue);
  if (!record) {
    LogChange(LogLevel::Warning,
              "instances",
              "an instance's key cannot be read",
              { { "key", aEntry.mKey }, { "why", ToString(record.error()) } });
    return;
  }
  LogChange(LogLevel::Info,
            "instances",
            "an instance's key changed",
            { { "instance", record.value().mName },
              { "leaving", record.value().mIsLeaving ? "yes" : "no" } });
  mInstances.Put(std::move(record.value()));
}

bool Gateway::IsReady() const
{
  return mParts.mRoutes != nullptr && mEndpointFollower.HasRead() && !mSelf.mIsLeaving;
}

net::ServiceReply Gateway::AnswerReadiness() const
{
  return IsReady() ? net::ServiceReply{ kOk, "text/plain", "ready\n" }
                   : net::ServiceReply{ kUnavailable, "text/plain", "not ready\n" };
}

net::ServiceReply Gateway::AnswerAddresses(const net::RequestHead& aHead) const
{
  auto self = mSelf;
  self.mIsLeaving = !IsReady();
  const auto zone = mDeployment.DecodeAddressQuery(aHead.mTarget);
  const auto offered = mInstances.Offer(self, zone, mClock.Now());
  if (offered.empty()) {
    return { kUnavailable, "text/plain", "no instance is ready\n" };
  }
  return { kOk, "application/json", mDeployment.EncodeAddresses(offered, mSettings.mAddressLife) };
}

net::Task<bool> Gateway::WriteOwnKey()
{
  if (mLease == 0) {
    const auto lease = co_await mStore.GrantLease(kLeaseLife);
    if (!lease) {
      co_return false;
    }
    mLease = lease.value();
  }
  Transaction transaction;
  transaction.mWrites.push_back(
    { std::string(kInstancePrefix) + mSelf.mName, ToText(mSelf), mLease });
  const auto answer = co_await mStore.Commit(std::move(transaction));
  if (answer.mCommit.mEffect != Effect::TookEffect) {
    // A lost answer is repeated with a new lease; the write is absolute.
    mLease = 0;
    co_return false;
  }
  co_return true;
}

net::Task<void> Gateway::KeepLease()
{
  bool isWritten = false;
  bool saidLeaving = false;
  while (true) {
    // The predecessor's key, which this one replaces, tells when it ended.
    if ((IsReady() && mRights.HasTakenOver()) || mSelf.mIsLeaving) {
      if (!isWritten || saidLeaving != mSelf.mIsLeaving) {
        const bool leaving = mSelf.mIsLeaving;
        isWritten = co_await WriteOwnKey();
        saidLeaving = isWritten ? leaving : saidLeaving;
      } else {
        const auto renewed = co_await mStore.RenewLease(mLease);
        if (renewed && !renewed.value()) {
          LogChange(
            LogLevel::Warning, "instances", "the lease of this instance's key has ended", {});
          mLease = 0;
          isWritten = false;
          continue;
        }
      }
    }
    const bool isDone = isWritten && saidLeaving == mSelf.mIsLeaving;
    const auto pause = isDone && !mSelf.mIsLeaving ? kLeaseRenewal : kLeaseRetry;
    co_await net::Signal::Sleep(mLoop, pause);
  }
}

net::Task<void> Gateway::Housekeep()
{
  while (true) {
    mParts.mEndpoints.Advance(mClock.Now());
    mParts.mConnections.Prune();
    mParts.mRetryBudget.SetBurst(
      ComputeRetryBurst(mSettings.mRetrySlack, mInstances.Size(mSelf.mName)));
    mMetrics.GaugeOf("gentianloom_open_requests").Set(mParts.mOpenRequests);
    co_await net::Signal::Sleep(mLoop, kHousekeeping);
  }
}

void Gateway::Reload(const GatewaySettings& aSettings)
{
  mSettings.mLeaveTime = aSettings.mLeaveTime;
  mSettings.mAddressLife = aSettings.mAddressLife;
  LogChange(LogLevel::Info,
            "gateway",
            "settings were read again",
            { { "leave_time_ms", std::to_string(mSettings.mLeaveTime.count()) },
              { "address_life_ms", std::to_string(mSettings.mAddressLife.count()) } });
}

void Gateway::Leave()
{
  if (!mSelf.mIsLeaving) {
    mSelf.mIsLeaving = true;
    mParts.mIsLeaving = true;
    net::Start(mLoop, "leave", RunLeave());
  }
}

net::Task<void> Gateway::RunLeave()
{
  const auto started = mClock.Now();
  LogChange(LogLevel::Info,
            "gateway",
            "leaving",
            { { "open_requests", std::to_string(mParts.mOpenRequests) } });
  const auto last = started + mSettings.mLeaveTime - kCloseTime;
  const auto taking = std::chrono::duration_cast<Micros>(mSettings.mLeaveTime * kTakingShare);
  const auto first = started + std::min<Micros>(mSettings.mAddressLife * kAddressLives, taking);
  while (mClock.Now() < last && (mClock.Now() < first || mParts.mOpenRequests > 0)) {
    mParts.mRejectsNewRequests = mClock.Now() >= first;
    co_await net::Signal::Sleep(mLoop, kLeavePoll);
  }
  co_await mRights.Close(mClock.Now() + kCloseTime / 2);
  if (mLease != 0) {
    const auto ended = co_await mStore.EndLease(mLease);
    if (!ended) {
      LogChange(LogLevel::Warning,
                "instances",
                "the lease of this instance's key could not be ended; it ends by itself",
                { { "why", ToString(ended.error()) } });
    }
  }
  LogChange(LogLevel::Info,
            "gateway",
            "stopped",
            { { "open_requests", std::to_string(mParts.mOpenRequests) } });
  mLoop.stop();
}

} // namespace gentianloom
