#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_MANAGER_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_MANAGER_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/configuration/ConfigurationDistribution.h"
#include "gentianloom/configuration/ConfigurationStore.h"
#include "gentianloom/configuration/ConfigurationVersionTracker.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace gentianloom {

/// The other routers, as the configuration's spread needs them.
struct ConfigurationPeers
{
  std::string mSelf;                                   ///< name of this router
  std::function<std::vector<PeerSettings>()> mMembers; ///< live routers and their peer addresses
  FetchFunction mFetch;
};

/// @brief Peers that are called over the network. @param aTimeout of each call
FetchFunction MakeThriftFetch(Millis aTimeout);

/// What this router knows of the configuration.
struct ConfigurationStatus
{
  VersionId mInForce{};
  Millis mInForceSince{ 0 }; ///< wall time
  std::int64_t mHighestKnown = 0;
  std::optional<std::int64_t> mStoreVersion{}; ///< none: the head was not read in this run
  ConfigurationAlarm mAlarm = ConfigurationAlarm::None;
};

/**
 * @brief Keeps the accepted configuration in force.
 *
 * One thread watches the head record, another gets new versions, from the key-value service or from
 * peers as PlanFetch() says. ConfigurationVersionTracker decides; the version in force never goes
 * down.
 */
class ConfigurationManager final : public ConfigurationHandler
{
public:
  ConfigurationManager(KeyValueStore& aStore,
                       const Clock& aClock,
                       Metrics& aMetrics,
                       ConfigurationPeers aPeers);
  ~ConfigurationManager() override;

  /// @brief Reads the head, asks a few peers for a higher version, then starts the threads.
  void Start();
  void Stop();

  /// @brief The configuration in force; null if none was accepted yet.
  AcceptedConfigurationPtr InForce() const;

  /// @brief Whether orders to endpoints may be given: the head was read in this run.
  bool MayControlEndpoints() const;

  ConfigurationStatus Status() const;

  /// @brief Reads the service now and takes a higher version into force.
  void Refresh();

  /// @brief A peer has a version in force; a newer one is fetched. Returns at once.
  void OnPeerVersion(std::int64_t aVersion,
                     const std::string& aDigest,
                     const std::string& aAddress);

  wire::ConfigurationAnswer OnFetchConfiguration(
    const wire::ConfigurationRequest& aRequest) override;

private:
  void WatchHead();
  void GetVersions();
  void OnHead(const ConfigurationHead& aHead);
  Millis WatchPeriod();
  bool ReadFromStore();
  bool ReadFromPeer(const std::string& aAddress);
  bool ReadFromMembers();
  bool GetOnce(std::int64_t aVersion);
  void PutInForce(const ConfigurationSnapshot& aVersion, std::string_view aFrom);
  void ShowAlarmLocked();
  ConfigurationSnapshot Held() const;
  bool WaitStopping(Millis aTime);

  KeyValueStore& mKeyValueStore;
  const Clock& mClock;
  ConfigurationStore mStore;
  Metrics& mMetrics;
  ConfigurationPeers mPeers;
  ConfigurationProvider mShelf;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  ConfigurationVersionTracker mGuard;
  ConfigurationSnapshot mHeld;
  Millis mInForceSince{ 0 };
  ConfigurationAlarm mShownAlarm = ConfigurationAlarm::None;
  std::int64_t mWanted = 0;         ///< version to get; not above the one in force: none
  std::deque<std::string> mHolders; ///< peers that said they have it
  bool mStopping = false;

  std::thread mWatchThread;
  std::thread mGetThread;
};

} // namespace gentianloom

#endif
