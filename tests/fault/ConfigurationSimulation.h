#ifndef GENTIANLOOM_TESTS_FAULT_CONFIGURATION_SIMULATION_H
#define GENTIANLOOM_TESTS_FAULT_CONFIGURATION_SIMULATION_H

#include "Scenario.h"

#include "ForwardingStore.h"
#include "MemoryStore.h"
#include "gentianloom/configuration/ConfigurationDistribution.h"
#include "gentianloom/configuration/ConfigurationStore.h"
#include "gentianloom/configuration/ConfigurationVersionTracker.h"

#include <array>
#include <functional>
#include <map>
#include <random>

namespace gentianloom::fault {

/// Thrown to end a call of a router that is killed during it.
struct RouterKilled
{};

/// One router's connection to the key-value service, with injected faults.
class FaultyStoreClient final : public standin::ForwardingStore
{
public:
  explicit FaultyStoreClient(standin::MemoryStore& aStore)
    : ForwardingStore(aStore)
    , mStore(aStore)
  {
  }

  bool mIsDown = false;          ///< requests do not arrive
  bool mDelaysWrites = false;    ///< writes are applied only by DeliverDelayedWrites()
  int mLostResponses = 0;        ///< number of writes that are still to lose their response
  bool mDropsResponses = false;  ///< requests are processed, but no response arrives
  bool mDropsConditions = false; ///< mutant: writes are applied without their conditions
  const std::vector<KeyValue>* mStaleEntries = nullptr; ///< reads return these entries, if set
  std::function<void(Step)> mBeforeCommit;              ///< may throw RouterKilled

  /// @brief Applies the writes that were delayed.
  void DeliverDelayedWrites();

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override;
  CommitResult Commit(const Transaction& aTransaction, Step aStep) override;
  Result<void> Watch(std::string_view aPrefix,
                     Revision aFrom,
                     Millis aTimeout,
                     const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
                     Step aStep) override;

private:
  standin::MemoryStore& mStore;
  std::vector<Transaction> mDelayedWrites;
};

/// Outcome that a router reports to the operator who applies a file.
enum class ReportedOutcome
{
  Done,
  NotRun,
  Unknown
};

/// Simulates three routers, one key-value service and two operators, without threads.
class ConfigurationSimulation
{
public:
  static constexpr std::size_t kRouterCount = 3;

  ConfigurationSimulation(std::uint64_t aSeed, std::string aMutant);

  /**
   * @brief Applies a file through a router, as an operator does.
   * @param aFile number of the file
   * @return the reported outcome
   */
  ReportedOutcome Apply(std::size_t aRouter, int aFile, const std::string& aApplyId);

  /// @brief Applies the same file with the same apply id again, after a call without a response.
  ReportedOutcome Retry(std::size_t aRouter, int aFile, const std::string& aApplyId);

  /// @brief Lets a router read the key-value service.
  void PollStore(std::size_t aRouter);
  /// @brief Lets a router ask each peer for a newer version.
  void PollPeers(std::size_t aRouter);
  /// @brief Replaces a router by one without state, which asks the service and the peers.
  void Restart(std::size_t aRouter);

  /// @brief Delivers a delayed response of a peer, with the first version.
  void DeliverOldResponse(std::size_t aRouter);

  /// @brief Ends all faults, lets all routers read, and checks that they have the last version.
  void ShutDownAndCheck();

  /// @brief Adds an event to the log and checks the invariants after it.
  void CheckInvariants(const std::string& aEvent);

  FaultyStoreClient& StoreOf(std::size_t aRouter) { return *mStores[aRouter]; }
  /// @brief Returns the entries of the service after the first version.
  const std::vector<KeyValue>& OldEntries() const { return mOldEntries; }
  const std::string& Violation() const { return mViolation; }
  ManualClock& Time() { return mClock; }
  bool mPeersCutOff = false; ///< routers do not reach each other

private:
  struct RouterState
  {
    ConfigurationVersionTracker mGuard;
    ConfigurationSnapshot mSnapshot;
    ConfigurationProvider mProvider;
    std::int64_t mLastCheckedVersion = 0;
  };

  void CheckUnchangedReply(int aFile);
  void PutInForce(RouterState& aRouter, const ConfigurationSnapshot& aVersion);
  void RecordViolation(const std::string& aText);

  ManualClock mClock;
  standin::MemoryStore mService{ mClock };
  std::array<std::unique_ptr<FaultyStoreClient>, kRouterCount> mStores;
  std::array<std::unique_ptr<RouterState>, kRouterCount> mRouters;
  std::vector<KeyValue> mOldEntries;
  ConfigurationSnapshot mOldVersion;
  /// Digest and apply id of each version, as first read.
  std::map<std::int64_t, std::string> mAcceptedVersions;
  std::map<std::string, ReportedOutcome> mReportedOutcomes; ///< by apply id
  std::string mMutant;
  std::string mEventLog;
  std::string mViolation;
};

} // namespace gentianloom::fault

#endif
