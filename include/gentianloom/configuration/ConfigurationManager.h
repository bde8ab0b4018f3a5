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

/// How a ConfigurationManager reaches the other routers.
struct ConfigurationPeers
{
  std::string mSelf;                                   ///< name of this router
  std::function<std::vector<PeerSettings>()> mMembers; ///< live routers and their peer addresses
  FetchFunction mFetch;
};

/// @brief Makes a function that fetches from a peer over Thrift. @param aTimeout limit of each call
FetchFunction MakeThriftFetch(Millis aTimeout);

/// The state of the configuration on this router.
struct ConfigurationStatus
{
  VersionId mInForce{};
  Millis mInForceSince{ 0 };                   ///< wall time
  std::int64_t mHighestKnown = 0;              ///< highest version read or reported by a peer
  std::optional<std::int64_t> mStoreVersion{}; ///< none: the head was not read since the start
  ConfigurationAlarm mAlarm = ConfigurationAlarm::None;
};

/**
 * @brief Keeps the newest accepted configuration in force on this router. Thread-safe.
 *
 * One thread watches the head record. Another fetches new versions, from the key-value service or
 * from peers as PlanFetch() says. ConfigurationVersionTracker decides which version is in force; it
 * never goes back to an older one.
 */
class ConfigurationManager final : public ConfigurationHandler
{
public:
  ConfigurationManager(KeyValueStore& aStore,
                       const Clock& aClock,
                       Metrics& aMetrics,
                       ConfigurationPeers aPeers);
  ~ConfigurationManager() override;

  /// @brief Reads the head, asks a few peers for a newer version, then starts the threads.
  void Start();
  void Stop();

  /// @brief The configuration in force; null if this router has none yet.
  AcceptedConfigurationPtr InForce() const;

  /// @brief Whether this router may send control orders to endpoints: it must have read the head
  /// record since its start, since peers may know only an older version.
  bool MayControlEndpoints() const;

  ConfigurationStatus Status() const;

  /// @brief Reads the key-value service now, and puts a newer version in force.
  void Refresh();

  /// @brief Handles a peer's report of its version in force. A newer version is fetched
  /// asynchronously.
  void OnPeerVersion(std::int64_t aVersion,
                     const std::string& aDigest,
                     const std::string& aAddress);

  /// @brief Handles a peer's request for the version in force.
  wire::ConfigurationAnswer OnFetchConfiguration(
    const wire::ConfigurationRequest& aRequest) override;

private:
  void WatchHead();
  void FetchVersions();
  void OnHead(const ConfigurationHead& aHead);
  Millis WatchPeriod();
  bool ReadFromStore();
  bool ReadFromPeer(const std::string& aAddress);
  bool ReadFromMembers();
  bool TryFetch(std::int64_t aVersion);
  void PutInForce(const ConfigurationSnapshot& aSnapshot, std::string_view aSource);
  void ReportAlarmLocked();
  ConfigurationSnapshot Snapshot() const;
  bool WaitForStop(Millis aTime);

  KeyValueStore& mKeyValueStore;
  const Clock& mClock;
  ConfigurationStore mStore;
  Metrics& mMetrics;
  ConfigurationPeers mPeers;
  ConfigurationProvider mProvider;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  ConfigurationVersionTracker mTracker;
  ConfigurationSnapshot mSnapshot; ///< the version in force
  Millis mInForceSince{ 0 };
  ConfigurationAlarm mReportedAlarm = ConfigurationAlarm::None;
  std::int64_t mTargetVersion = 0;          ///< version to fetch, if above the one in force
  std::deque<std::string> mPeersWithTarget; ///< peers that reported the target version
  bool mStopping = false;

  std::thread mWatchThread;
  std::thread mFetchThread;
};

} // namespace gentianloom

#endif
