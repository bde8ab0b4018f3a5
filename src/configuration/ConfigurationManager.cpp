#include "gentianloom/configuration/ConfigurationManager.h"

#include "gen-cpp/Peer.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/peer/PeerCall.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Duration of one watch, after which the head is read again. Each watch costs the service one
/// call.
constexpr Millis kWatchPeriod{ 60'000 };

/// Duration of one watch while the service returns an older version than the one in force. Short,
/// so that the alarm is raised or ended soon.
constexpr Millis kBehindWatchPeriod{ 5'000 };

constexpr Millis kRetryPause{ 200 };
constexpr Millis kMaxRetryPause{ 5'000 };
constexpr Millis kParentPause{ 300 }; ///< between attempts to fetch from the parent
constexpr int kMaxParentAttempts = 3;
constexpr int kMaxFetchAttempts = 10; ///< for one version
constexpr std::size_t kMaxPeersWithTarget = 8;
constexpr std::size_t kMaxMembersAsked = 3; ///< in one round

} // namespace

FetchFunction MakeThriftFetch(Millis aTimeout)
{
  return
    [aTimeout](const std::string& aAddress,
               const wire::ConfigurationRequest& aRequest) -> Result<wire::ConfigurationAnswer> {
      wire::ConfigurationAnswer out;
      BOOST_OUTCOME_TRYV(
        CallPeer(aAddress, aTimeout, Step::ApplicationSpread, [&](wire::PeerClient& it) {
          it.FetchConfiguration(out, aRequest);
        }));
      return out;
    };
}

ConfigurationManager::ConfigurationManager(KeyValueStore& aStore,
                                           const Clock& aClock,
                                           Metrics& aMetrics,
                                           ConfigurationPeers aPeers)
  : mKeyValueStore(aStore)
  , mClock(aClock)
  , mStore(aStore)
  , mMetrics(aMetrics)
  , mPeers(std::move(aPeers))
{
}

ConfigurationManager::~ConfigurationManager()
{
  Stop();
}

void ConfigurationManager::Start()
{
  Refresh();
  // The key-value service may be unavailable or its answer stale, so peers may have a newer
  // version.
  ReadFromMembers();
  mWatchThread = std::thread([this] { WatchHead(); });
  mFetchThread = std::thread([this] { FetchVersions(); });
}

void ConfigurationManager::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  mKeyValueStore.StopWatches(kHeadKey);
  for (auto* it : { &mWatchThread, &mFetchThread }) {
    if (it->joinable()) {
      it->join();
    }
  }
}

AcceptedConfigurationPtr ConfigurationManager::InForce() const
{
  const std::lock_guard lock(mMutex);
  return mSnapshot.mAccepted;
}

bool ConfigurationManager::MayControlEndpoints() const
{
  const std::lock_guard lock(mMutex);
  return !mTracker.IsProvisional();
}

ConfigurationStatus ConfigurationManager::Status() const
{
  const std::lock_guard lock(mMutex);
  return { mTracker.InForce(),
           mInForceSince,
           mTracker.HighestKnown(),
           mTracker.StoreVersion(),
           mTracker.Alarm() };
}

ConfigurationSnapshot ConfigurationManager::Snapshot() const
{
  const std::lock_guard lock(mMutex);
  return mSnapshot;
}

bool ConfigurationManager::WaitForStop(Millis aTime)
{
  std::unique_lock lock(mMutex);
  return mChanged.wait_for(lock, aTime, [this] { return mStopping; });
}

void ConfigurationManager::Refresh()
{
  auto head = mStore.ReadHead();
  if (!head) {
    mMetrics.CounterOf("gentianloom_configuration_read_failures_total").Add();
    return;
  }
  OnHead(head.value());
  if (head.value().mVersion > Snapshot().mHead.mVersion) {
    ReadFromStore();
  }
}

void ConfigurationManager::OnHead(const ConfigurationHead& aHead)
{
  {
    const std::lock_guard lock(mMutex);
    const auto result = mTracker.OnHead({ aHead.mVersion, aHead.mDigest }, mClock.Now());
    if (result == VersionCheckResult::Older) {
      mMetrics.CounterOf("gentianloom_configuration_stale_answers_total").Add();
    }
    if (result == VersionCheckResult::Newer) {
      mTargetVersion = std::max(mTargetVersion, aHead.mVersion);
    }
    mMetrics.GaugeOf("gentianloom_configuration_provisional").Set(0);
    ReportAlarmLocked();
  }
  mChanged.notify_all();
}

void ConfigurationManager::OnPeerVersion(std::int64_t aVersion,
                                         const std::string& aDigest,
                                         const std::string& aAddress)
{
  {
    const std::lock_guard lock(mMutex);
    const auto result = mTracker.OnPeerVersion({ aVersion, aDigest });
    ReportAlarmLocked();
    if (result != VersionCheckResult::Newer) {
      return;
    }
    if (aVersion > mTargetVersion) {
      mPeersWithTarget.clear();
    }
    mTargetVersion = std::max(mTargetVersion, aVersion);
    if (mPeersWithTarget.size() < kMaxPeersWithTarget) {
      mPeersWithTarget.push_back(aAddress);
    }
  }
  mChanged.notify_all();
}

void ConfigurationManager::ReportAlarmLocked()
{
  const auto alarm = mTracker.Alarm();
  if (alarm == mReportedAlarm) {
    return;
  }
  for (const auto it : { ConfigurationAlarm::StoreBehind, ConfigurationAlarm::Forked }) {
    const auto label = "alarm=\"" + std::string(ToString(it)) + "\"";
    mMetrics.GaugeOf("gentianloom_configuration_alarm", label).Set(it == alarm ? 1 : 0);
  }
  mReportedAlarm = alarm;
  LogChange(alarm == ConfigurationAlarm::None ? LogLevel::Info : LogLevel::Error,
            "configuration",
            "alarm changed",
            { { "alarm", std::string(ToString(alarm)) },
              { "inForce", std::to_string(mTracker.InForce().mVersion) },
              { "store", std::to_string(mTracker.StoreVersion().value_or(0)) } });
}

void ConfigurationManager::PutInForce(const ConfigurationSnapshot& aSnapshot,
                                      std::string_view aSource)
{
  const VersionId id{ aSnapshot.mHead.mVersion, aSnapshot.mHead.mDigest };
  {
    const std::lock_guard lock(mMutex);
    if (!mTracker.PutInForce(id)) {
      return;
    }
    // Published in the same critical section, so that peers that learn of the version in force can
    // fetch it at once.
    mProvider.Publish(aSnapshot);
    mSnapshot = aSnapshot;
    mInForceSince = mClock.WallTime();
    mMetrics.GaugeOf("gentianloom_configuration_provisional").Set(mTracker.IsProvisional() ? 1 : 0);
    ReportAlarmLocked();
  }
  mChanged.notify_all();
  mMetrics.GaugeOf("gentianloom_configuration_version").Set(id.mVersion);
  mMetrics
    .CounterOf("gentianloom_configuration_taken_total", "from=\"" + std::string(aSource) + "\"")
    .Add();
  LogChange(LogLevel::Info,
            "configuration",
            "new version put in force",
            { { "version", std::to_string(id.mVersion) }, { "from", std::string(aSource) } });
}

bool ConfigurationManager::ReadFromStore()
{
  const auto current = Snapshot();
  auto head = mStore.ReadHead();
  if (!head || head.value().mVersion <= current.mHead.mVersion) {
    return false;
  }
  auto accepted = mStore.ReadConfiguration(head.value(), current.mAccepted);
  if (!accepted || !accepted.value()) {
    mMetrics.CounterOf("gentianloom_configuration_read_failures_total").Add();
    return false;
  }
  PutInForce({ head.value(), accepted.value() }, "store");
  return true;
}

bool ConfigurationManager::ReadFromPeer(const std::string& aAddress)
{
  const auto current = Snapshot();
  auto fetched = FetchFromPeer(mPeers.mFetch, aAddress, current, current.mHead.mVersion + 1);
  if (!fetched) {
    mMetrics.CounterOf("gentianloom_configuration_peer_failures_total").Add();
    return false;
  }
  PutInForce(fetched.value(), "peer");
  return true;
}

bool ConfigurationManager::ReadFromMembers()
{
  auto members = mPeers.mMembers();
  // Each call asks a different few members, so that no router is asked by all others.
  const auto seed =
    StableHash(mPeers.mSelf, static_cast<std::uint64_t>(mClock.Now().time_since_epoch().count()));
  std::sort(members.begin(), members.end(), [seed](const auto& aLeft, const auto& aRight) {
    return StableHash(aLeft.mName, seed) < StableHash(aRight.mName, seed);
  });
  bool isUpdated = false;
  std::size_t asked = 0;
  for (const auto& it : members) {
    if (it.mName == mPeers.mSelf || asked++ >= kMaxMembersAsked) {
      continue;
    }
    isUpdated = ReadFromPeer(it.mAddress) || isUpdated;
  }
  return isUpdated;
}

bool ConfigurationManager::TryFetch(std::int64_t aVersion)
{
  const auto hasVersion = [this, aVersion] { return Snapshot().mHead.mVersion >= aVersion; };
  const auto plan = PlanFetch(mPeers.mSelf, aVersion, mPeers.mMembers());
  if (!plan.mReadsFromStore && !WaitForStop(plan.mDelay)) {
    for (int n = 0; n < kMaxParentAttempts && !hasVersion(); ++n) {
      if (ReadFromPeer(plan.mParent) || WaitForStop(kParentPause)) {
        break;
      }
    }
  }
  if (!hasVersion()) {
    ReadFromStore();
  }
  std::deque<std::string> peers;
  {
    const std::lock_guard lock(mMutex);
    peers = mPeersWithTarget;
  }
  for (const auto& it : peers) {
    if (!hasVersion()) {
      ReadFromPeer(it);
    }
  }
  return hasVersion();
}

void ConfigurationManager::FetchVersions()
{
  std::int64_t abandonedVersion = 0;
  std::unique_lock lock(mMutex);
  const auto mustFetch = [&] {
    return mTargetVersion > mTracker.InForce().mVersion && mTargetVersion > abandonedVersion;
  };
  while (!mStopping) {
    mChanged.wait(lock, [&] { return mStopping || mustFetch(); });
    auto pause = kRetryPause;
    for (int n = 0; n < kMaxFetchAttempts && !mStopping && mustFetch(); ++n) {
      const auto version = mTargetVersion;
      lock.unlock();
      const bool isFetched = TryFetch(version) || WaitForStop(pause);
      lock.lock();
      pause = std::min(pause * 2, kMaxRetryPause);
      abandonedVersion = !isFetched && n + 1 == kMaxFetchAttempts ? version : abandonedVersion;
    }
  }
}

Millis ConfigurationManager::WatchPeriod()
{
  const std::lock_guard lock(mMutex);
  const bool isStoreBehind = mTracker.StoreVersion().value_or(0) < mTracker.InForce().mVersion;
  const auto period = isStoreBehind ? kBehindWatchPeriod : kWatchPeriod;
  const auto now = static_cast<std::uint64_t>(mClock.Now().time_since_epoch().count());
  // Jitter of up to a quarter, so that the routers do not all renew their watches at once.
  return period + Millis(StableHash(mPeers.mSelf, now) % (period.count() / 4));
}

void ConfigurationManager::WatchHead()
{
  auto pause = kRetryPause;
  while (true) {
    const auto began = mClock.Now();
    auto head = mStore.ReadHead();
    if (head) {
      OnHead(head.value());
      const auto onEvents = [this](const std::vector<WatchEvent>& aEvents, Revision /*aAt*/) {
        for (const auto& it : aEvents) {
          auto event = ParseHead(it.mEntry.mValue);
          if (!it.mIsDeleted && event) {
            OnHead(event.value());
          }
        }
        const std::lock_guard lock(mMutex);
        return !mStopping;
      };
      static_cast<void>(mKeyValueStore.Watch(kHeadKey,
                                             head.value().mStoreRevision + 1,
                                             WatchPeriod(),
                                             onEvents,
                                             Step::ApplicationSpread));
    } else {
      mMetrics.CounterOf("gentianloom_configuration_read_failures_total").Add();
      if (!InForce()) {
        ReadFromMembers();
      }
    }
    const bool hasWatched = head && mClock.Now() - began > kRetryPause;
    pause = hasWatched ? kRetryPause : std::min(pause * 2, kMaxRetryPause);
    if (WaitForStop(hasWatched ? Millis(0) : pause)) {
      return;
    }
  }
}

wire::ConfigurationAnswer ConfigurationManager::OnFetchConfiguration(
  const wire::ConfigurationRequest& aRequest)
{
  return mProvider.Answer(aRequest);
}

} // namespace gentianloom
