#include "gentianloom/configuration/ConfigurationManager.h"

#include "gen-cpp/Peer.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/peer/PeerCall.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Time of one watch; the head is read again between watches. Each is one call of the service.
constexpr Millis kWatchPeriod{ 60'000 };

/// Time of one watch while the service's answers are behind, so that an alarm is found or ended.
constexpr Millis kBehindWatchPeriod{ 5'000 };

constexpr Millis kRetryPause{ 200 };
constexpr Millis kMostRetryPause{ 5'000 };
constexpr Millis kParentPause{ 300 };
constexpr int kParentTries = 3;
constexpr int kMostTries = 10;
constexpr std::size_t kMostHolders = 8;
constexpr std::size_t kMembersAsked = 3;

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
  // The service may be away, or its answer stale: peers may hold a higher version.
  ReadFromMembers();
  mWatchThread = std::thread([this] { WatchHead(); });
  mGetThread = std::thread([this] { GetVersions(); });
}

void ConfigurationManager::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  mKeyValueStore.StopWatches(kHeadKey);
  for (auto* it : { &mWatchThread, &mGetThread }) {
    if (it->joinable()) {
      it->join();
    }
  }
}

AcceptedConfigurationPtr ConfigurationManager::InForce() const
{
  const std::lock_guard lock(mMutex);
  return mHeld.mAccepted;
}

bool ConfigurationManager::MayControlEndpoints() const
{
  const std::lock_guard lock(mMutex);
  return !mGuard.IsProvisional();
}

ConfigurationStatus ConfigurationManager::Status() const
{
  const std::lock_guard lock(mMutex);
  return {
    mGuard.InForce(), mInForceSince, mGuard.HighestKnown(), mGuard.StoreVersion(), mGuard.Alarm()
  };
}

ConfigurationSnapshot ConfigurationManager::Held() const
{
  const std::lock_guard lock(mMutex);
  return mHeld;
}

bool ConfigurationManager::WaitStopping(Millis aTime)
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
  if (head.value().mVersion > Held().mHead.mVersion) {
    ReadFromStore();
  }
}

void ConfigurationManager::OnHead(const ConfigurationHead& aHead)
{
  {
    const std::lock_guard lock(mMutex);
    const auto verdict = mGuard.OnHead({ aHead.mVersion, aHead.mDigest }, mClock.Now());
    if (verdict == VersionCheckResult::Older) {
      mMetrics.CounterOf("gentianloom_configuration_stale_answers_total").Add();
    }
    if (verdict == VersionCheckResult::Newer) {
      mWanted = std::max(mWanted, aHead.mVersion);
    }
    mMetrics.GaugeOf("gentianloom_configuration_provisional").Set(0);
    ShowAlarmLocked();
  }
  mChanged.notify_all();
}

void ConfigurationManager::OnPeerVersion(std::int64_t aVersion,
                                         const std::string& aDigest,
                                         const std::string& aAddress)
{
  {
    const std::lock_guard lock(mMutex);
    const auto verdict = mGuard.OnPeerVersion({ aVersion, aDigest });
    ShowAlarmLocked();
    if (verdict != VersionCheckResult::Newer) {
      return;
    }
    if (aVersion > mWanted) {
      mHolders.clear();
    }
    mWanted = std::max(mWanted, aVersion);
    if (mHolders.size() < kMostHolders) {
      mHolders.push_back(aAddress);
    }
  }
  mChanged.notify_all();
}

void ConfigurationManager::ShowAlarmLocked()
{
  const auto alarm = mGuard.Alarm();
  if (alarm == mShownAlarm) {
    return;
  }
  for (const auto it : { ConfigurationAlarm::StoreBehind, ConfigurationAlarm::Forked }) {
    const auto label = "alarm=\"" + std::string(ToString(it)) + "\"";
    mMetrics.GaugeOf("gentianloom_configuration_alarm", label).Set(it == alarm ? 1 : 0);
  }
  mShownAlarm = alarm;
  LogChange(alarm == ConfigurationAlarm::None ? LogLevel::Info : LogLevel::Error,
            "configuration",
            "the alarm changed",
            { { "alarm", std::string(ToString(alarm)) },
              { "inForce", std::to_string(mGuard.InForce().mVersion) },
              { "store", std::to_string(mGuard.StoreVersion().value_or(0)) } });
}

void ConfigurationManager::PutInForce(const ConfigurationSnapshot& aVersion, std::string_view aFrom)
{
  const VersionId id{ aVersion.mHead.mVersion, aVersion.mHead.mDigest };
  {
    const std::lock_guard lock(mMutex);
    if (!mGuard.PutInForce(id)) {
      return;
    }
    // Peers that see the version in force can fetch it at once.
    mShelf.Publish(aVersion);
    mHeld = aVersion;
    mInForceSince = mClock.WallTime();
    mMetrics.GaugeOf("gentianloom_configuration_provisional").Set(mGuard.IsProvisional() ? 1 : 0);
    ShowAlarmLocked();
  }
  mChanged.notify_all();
  mMetrics.GaugeOf("gentianloom_configuration_version").Set(id.mVersion);
  mMetrics.CounterOf("gentianloom_configuration_taken_total", "from=\"" + std::string(aFrom) + "\"")
    .Add();
  LogChange(LogLevel::Info,
            "configuration",
            "a new version is in force",
            { { "version", std::to_string(id.mVersion) }, { "from", std::string(aFrom) } });
}

bool ConfigurationManager::ReadFromStore()
{
  const auto held = Held();
  auto head = mStore.ReadHead();
  if (!head || head.value().mVersion <= held.mHead.mVersion) {
    return false;
  }
  auto accepted = mStore.ReadConfiguration(head.value(), held.mAccepted);
  if (!accepted || !accepted.value()) {
    mMetrics.CounterOf("gentianloom_configuration_read_failures_total").Add();
    return false;
  }
  PutInForce({ head.value(), accepted.value() }, "store");
  return true;
}

bool ConfigurationManager::ReadFromPeer(const std::string& aAddress)
{
  const auto held = Held();
  auto fetched = FetchFromPeer(mPeers.mFetch, aAddress, held, held.mHead.mVersion + 1);
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
  // A different few at each call, so that no router is asked by all.
  const auto seed =
    StableHash(mPeers.mSelf, static_cast<std::uint64_t>(mClock.Now().time_since_epoch().count()));
  std::sort(members.begin(), members.end(), [seed](const auto& aLeft, const auto& aRight) {
    return StableHash(aLeft.mName, seed) < StableHash(aRight.mName, seed);
  });
  bool taken = false;
  std::size_t asked = 0;
  for (const auto& it : members) {
    if (it.mName == mPeers.mSelf || asked++ >= kMembersAsked) {
      continue;
    }
    taken = ReadFromPeer(it.mAddress) || taken;
  }
  return taken;
}

bool ConfigurationManager::GetOnce(std::int64_t aVersion)
{
  const auto reached = [this, aVersion] { return Held().mHead.mVersion >= aVersion; };
  const auto plan = PlanFetch(mPeers.mSelf, aVersion, mPeers.mMembers());
  if (!plan.mReadsFromStore && !WaitStopping(plan.mDelay)) {
    for (int n = 0; n < kParentTries && !reached(); ++n) {
      if (ReadFromPeer(plan.mParent) || WaitStopping(kParentPause)) {
        break;
      }
    }
  }
  if (!reached()) {
    ReadFromStore();
  }
  std::deque<std::string> holders;
  {
    const std::lock_guard lock(mMutex);
    holders = mHolders;
  }
  for (const auto& it : holders) {
    if (!reached()) {
      ReadFromPeer(it);
    }
  }
  return reached();
}

void ConfigurationManager::GetVersions()
{
  std::int64_t givenUp = 0;
  std::unique_lock lock(mMutex);
  const auto wants = [&] { return mWanted > mGuard.InForce().mVersion && mWanted > givenUp; };
  while (!mStopping) {
    mChanged.wait(lock, [&] { return mStopping || wants(); });
    auto pause = kRetryPause;
    for (int n = 0; n < kMostTries && !mStopping && wants(); ++n) {
      const auto version = mWanted;
      lock.unlock();
      const bool got = GetOnce(version) || WaitStopping(pause);
      lock.lock();
      pause = std::min(pause * 2, kMostRetryPause);
      givenUp = !got && n + 1 == kMostTries ? version : givenUp;
    }
  }
}

Millis ConfigurationManager::WatchPeriod()
{
  const std::lock_guard lock(mMutex);
  const bool behind = mGuard.StoreVersion().value_or(0) < mGuard.InForce().mVersion;
  const auto period = behind ? kBehindWatchPeriod : kWatchPeriod;
  const auto now = static_cast<std::uint64_t>(mClock.Now().time_since_epoch().count());
  // Up to a quarter longer, so that routers do not watch anew all at once.
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
          if (!it.mDeleted && event) {
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
    const bool lasted = head && mClock.Now() - began > kRetryPause;
    pause = lasted ? kRetryPause : std::min(pause * 2, kMostRetryPause);
    if (WaitStopping(lasted ? Millis(0) : pause)) {
      return;
    }
  }
}

wire::ConfigurationAnswer ConfigurationManager::OnFetchConfiguration(
  const wire::ConfigurationRequest& aRequest)
{
  return mShelf.Answer(aRequest);
}

} // namespace gentianloom
