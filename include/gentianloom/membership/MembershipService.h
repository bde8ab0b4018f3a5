#ifndef GENTIANLOOM_MEMBERSHIP_MEMBERSHIP_SERVICE_H
#define GENTIANLOOM_MEMBERSHIP_MEMBERSHIP_SERVICE_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/membership/GossipInterfaces.h"
#include "gentianloom/membership/MembershipCore.h"
#include "gentianloom/peer/PeerHandlers.h"
#include "gentianloom/settings/Settings.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace gentianloom {

/**
 * @brief Runs MembershipCore on its own thread, sends probes by Thrift and answers those of peers.
 *
 * The lock on the core is held for single decisions, never during a call to a peer.
 */
class MembershipService final : public MembershipHandler
{
public:
  /// @param aIncarnation unique identifier of this run of the router
  MembershipService(const Settings& aSettings,
                    std::string aIncarnation,
                    const MembershipOptions& aOptions,
                    const Clock& aClock,
                    Metrics& aMetrics);
  ~MembershipService() override;

  /// @brief Adds a source of further gossip entries. Call before Start().
  void AddSource(GossipSource* aSource) { mSources.push_back(aSource); }
  /// @brief Adds a receiver of gossip. Call before Start().
  void AddSink(GossipSink* aSink) { mSinks.push_back(aSink); }

  /// @brief Sets the function that returns this router's load in permille. Call before Start().
  void SetLoadSource(std::function<std::int32_t()> aLoadSource)
  {
    mLoadSource = std::move(aLoadSource);
  }

  /// @brief Sets the function that returns the configuration in force. Call before Start().
  void SetConfigurationSource(std::function<AcceptedConfigurationPtr()> aConfigurationSource)
  {
    mConfigurationSource = std::move(aConfigurationSource);
  }

  /// @brief Starts probing. Before that, probes from peers are rejected with
  /// ErrorCode::PeerUnavailable.
  void Start(const std::string& aCallerAddress, const std::string& aPeerAddress);
  void Stop();

  /// @brief Marks this router as leaving and notifies several members immediately by probes, one
  /// after the other; the remaining members learn it by gossip. Blocks.
  void AnnounceLeaving();

  /// @brief Probes up to @p aMaxPeers alive peers immediately, one after the other, to send them
  /// the gossip of all sources. Blocks.
  void PushGossip(std::size_t aMaxPeers);

  /// @brief Adds a possible router to be probed; ignored before Start(). Thread-safe.
  void AddCandidate(const std::string& aName, const std::string& aAddress);

  /// @brief Returns the state that this router announces about itself.
  wire::MemberNews Self() const;

  /// @brief Returns all other routers of any standing, ordered by name.
  std::vector<Member> Others() const;

  /// @brief Returns the names and peer addresses of the other routers that are alive, not suspect.
  std::vector<PeerSettings> LivePeers() const;

  /// @brief Returns the number of other routers that are alive or suspect.
  std::size_t LiveCount() const;

  wire::ProbeAnswer OnProbe(const wire::ProbeRequest& aRequest) override;
  wire::ProbeAnswer OnProbeFor(const wire::ProbeRequest& aRequest,
                               const std::string& aTarget) override;

private:
  void Run();
  void RunPeriod();
  bool ProbeDirectly(const ProbeTarget& aTarget);
  bool ProbeIndirectly(const ProbeTarget& aHelper, const ProbeTarget& aTarget);
  wire::ProbeRequest MakeProbeRequest(const std::string& aName);
  /// @brief Adds the configuration's version and digest and the entries of all sources, and counts
  /// the outgoing message and its bytes in the metrics.
  void CompleteGossip(wire::Gossip& aGossip);
  /// @brief Counts an incoming message, applies its updates and passes it to all sinks.
  void ReceiveGossip(const wire::Gossip& aGossip);
  void LogStandingChanges();

  const Settings& mSettings;
  MembershipOptions mOptions;
  const Clock& mClock;
  wire::MemberNews mSelfDescription;
  std::vector<GossipSource*> mSources;
  std::vector<GossipSink*> mSinks;
  std::function<std::int32_t()> mLoadSource;
  std::function<AcceptedConfigurationPtr()> mConfigurationSource;

  Counter& mMessages;
  Counter& mBytes;
  Counter& mSuspicions;
  Counter& mRefutations;
  Counter& mMissedProbes;
  Gauge& mLiveMembers;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  std::unique_ptr<MembershipCore> mCore;
  std::map<std::string, wire::Standing::type> mLoggedStandings; ///< last logged standing by name
  std::int64_t mSequence = 0;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
