#ifndef GENTIANLOOM_TESTS_FAULT_CONFIGURATION_SIMULATION_H
#define GENTIANLOOM_TESTS_FAULT_CONFIGURATION_SIMULATION_H

#include "Scenario.h"

#include "ForwardingStore.h"
#include "MemoryStore.h"
#include "gentianloom/configuration/ConfigurationGuard.h"
#include "gentianloom/configuration/ConfigurationStore.h"
#include "gentianloom/configuration/Spread.h"

#include <array>
#include <functional>
#include <map>
#include <random>

namespace gentianloom::fault {

/// Thrown out of a router that is killed in the middle of a call.
struct RouterDied
{};

/// One router's way to the key-value service, with the faults on it.
class FaultyPort final : public standin::ForwardingStore
{
public:
  explicit FaultyPort(standin::MemoryStore& aStore)
    : ForwardingStore(aStore)
    , mStore(aStore)
  {
  }

  bool mDown = false;                            ///< calls do not arrive
  bool mLate = false;                            ///< writes arrive after the caller gave up
  int mLostAnswers = 0;                          ///< writes take effect without an answer
  bool mDeaf = false;                            ///< no answer arrives
  bool mUnconditional = false;                   ///< planted: conditions are left out
  const std::vector<KeyValue>* mStale = nullptr; ///< answers to reads, if set
  std::function<void(Step)> mBeforeCommit;       ///< may throw RouterDied

  void DeliverLate();

  Result<RangeAnswer> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override;
  CommitAnswer Commit(const Transaction& aTransaction, Step aStep) override;
  Result<void> Watch(std::string_view aPrefix,
                     Revision aFrom,
                     Millis aTimeout,
                     const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
                     Step aStep) override;

private:
  standin::MemoryStore& mStore;
  std::vector<Transaction> mWaiting;
};

/// What an operator was told of an order.
enum class Told
{
  Done,
  NotRun,
  Unknown
};

/// Three routers, one service and two operators, with the real decision code and no threads.
class ConfigurationWorld
{
public:
  static constexpr std::size_t kRouters = 3;

  ConfigurationWorld(std::uint64_t aSeed, std::string aPlant);

  /// @brief An operator applies a file through a router. @return what it is told
  Told Apply(std::size_t aRouter, int aFile, const std::string& aApplyId);

  /// @brief An operator who got no answer gives the same order to another router.
  Told Retry(std::size_t aRouter, int aFile, const std::string& aApplyId);

  void PollStore(std::size_t aRouter);
  void PollPeers(std::size_t aRouter);
  void Restart(std::size_t aRouter);

  /// @brief An answer of a peer that was on its way for long arrives.
  void DeliverOldAnswer(std::size_t aRouter);

  /// @brief Ends all faults, lets routers read, and checks that all hold the last version.
  void Heal();

  void Check(const std::string& aEvent);

  FaultyPort& Port(std::size_t aRouter) { return *mPorts[aRouter]; }
  const std::vector<KeyValue>& OldState() const { return mOldState; }
  const std::string& Violation() const { return mViolation; }
  ManualClock& Time() { return mClock; }
  bool mPeersCut = false;

private:
  struct Node
  {
    ConfigurationGuard mGuard;
    HeldVersion mHeld;
    ConfigurationShelf mShelf;
    std::int64_t mCheckedVersion = 0;
  };

  void CheckUnchanged(int aFile);
  void Take(Node& aNode, const HeldVersion& aVersion);
  void Fail(const std::string& aText);

  ManualClock mClock;
  standin::MemoryStore mService{ mClock };
  std::array<std::unique_ptr<FaultyPort>, kRouters> mPorts;
  std::array<std::unique_ptr<Node>, kRouters> mNodes;
  std::vector<KeyValue> mOldState;
  HeldVersion mOldVersion;
  std::map<std::int64_t, std::string> mAccepted; ///< version to digest, as first seen
  std::map<std::string, Told> mTold;             ///< by apply id
  std::string mPlant;
  std::string mSchedule;
  std::string mViolation;
};

} // namespace gentianloom::fault

#endif
