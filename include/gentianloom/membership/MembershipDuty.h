#ifndef GENTIANLOOM_MEMBERSHIP_MEMBERSHIP_DUTY_H
#define GENTIANLOOM_MEMBERSHIP_MEMBERSHIP_DUTY_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/membership/GossipPart.h"
#include "gentianloom/membership/MembershipCore.h"
#include "gentianloom/peer/Handlers.h"
#include "gentianloom/settings/Settings.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace gentianloom {

/**
 * @brief Drives MembershipCore over Thrift on a thread of its own, and answers others' probes.
 *
 * The core is locked only for single decisions, never across a call to a peer.
 */
class MembershipDuty final : public MembershipHandler
{
public:
  /// @param aIncarnation identifier of this run of this router, never used before
  MembershipDuty(const Settings& aSettings,
                 std::string aIncarnation,
                 const MembershipTimes& aTimes,
                 const Clock& aClock,
                 Metrics& aMetrics);
  ~MembershipDuty() override;

  /// @brief Adds a carrier of other news; before Start().
  void AddSource(GossipSource* aSource) { mSources.push_back(aSource); }
  void AddSink(GossipSink* aSink) { mSinks.push_back(aSink); }

  /// @brief Sets where this router's load comes from, in permille; before Start().
  void SetLoadSource(std::function<std::int32_t()> aLoad) { mLoad = std::move(aLoad); }

  /// @brief Sets where the configuration in force comes from; before Start().
  void SetConfigurationSource(std::function<AcceptedConfigurationPtr()> aConfiguration)
  {
    mConfiguration = std::move(aConfiguration);
  }

  /// @brief Starts probing; probes that arrive before are refused.
  void Start(const std::string& aCallerAddress, const std::string& aPeerAddress);
  void Stop();

  /// @brief Tells several members at once that this router leaves; the others hear by news.
  void AnnounceLeaving();

  /// @brief Probes living peers at once, so that they have the news of all sources. Blocks.
  void TellNow(std::size_t aMost);

  /// @brief Adds a router that may be there. Thread-safe.
  void AddCandidate(const std::string& aName, const std::string& aAddress);

  /// @brief This router as it describes itself.
  wire::MemberNews Self() const;

  /// @brief All others, whatever their standing, by name.
  std::vector<Member> Others() const;

  /// @brief Others that are alive, with the addresses of their peer servers.
  std::vector<PeerSettings> LivePeers() const;

  /// @brief Number of others that are neither dead nor leaving.
  std::size_t Living() const;

  wire::ProbeAnswer OnProbe(const wire::ProbeRequest& aRequest) override;
  wire::ProbeAnswer OnProbeFor(const wire::ProbeRequest& aRequest,
                               const std::string& aTarget) override;

private:
  void Run();
  void RunPeriod();
  bool ProbeDirectly(const ProbeTarget& aTarget);
  bool ProbeThrough(const ProbeTarget& aHelper, const ProbeTarget& aTarget);
  wire::ProbeRequest RequestTo(const std::string& aName);
  void AddOthersNews(wire::Gossip& aGossip);
  void Take(const wire::Gossip& aGossip);
  void LogStandings();

  const Settings& mSettings;
  MembershipTimes mTimes;
  const Clock& mClock;
  wire::MemberNews mDescription;
  std::vector<GossipSource*> mSources;
  std::vector<GossipSink*> mSinks;
  std::function<std::int32_t()> mLoad;
  std::function<AcceptedConfigurationPtr()> mConfiguration;

  Counter& mMessages;
  Counter& mBytes;
  Counter& mSuspicions;
  Counter& mRefutations;
  Counter& mMissed;
  Gauge& mLiving;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  std::unique_ptr<MembershipCore> mCore;
  std::map<std::string, wire::Standing::type> mLogged; ///< standing that was last logged
  std::int64_t mSequence = 0;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
