#ifndef GENTIANLOOM_TESTS_BUDGET_BUDGET_SIMULATION_H
#define GENTIANLOOM_TESTS_BUDGET_BUDGET_SIMULATION_H

#include "Scenario.h"

#include "gentianloom/budget/BudgetView.h"
#include "gentianloom/budget/Ledger.h"
#include "gentianloom/external/KeyValueStore.h"

#include <array>
#include <memory>

namespace gentianloom::fault {

/// Deterministic random numbers (splitmix64), the same on every machine.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }
  std::uint64_t Next();
  std::size_t Below(std::size_t aLimit) { return static_cast<std::size_t>(Next() % aLimit); }
  bool Chance(unsigned aPercent) { return Next() % 100 < aPercent; }

private:
  std::uint64_t mState;
};

/// Incarnations that one world has at most; a killed router is replaced while there are fewer.
inline constexpr std::size_t kMostIncarnations = 12;

inline constexpr std::string_view kPlantLostAnswer = "double refill after a lost answer";
inline constexpr std::string_view kPlantReclaim = "reclaim by time only";
inline constexpr std::string_view kPlantTransfer = "transfer credited twice";
inline constexpr std::string_view kPlantBill = "bill counted twice";
inline constexpr std::array kMutants = { kPlantLostAnswer,
                                         kPlantReclaim,
                                         kPlantTransfer,
                                         kPlantBill };

/// How often what a schedule is meant to bring about really happened.
struct Coverage
{
  std::uint64_t mReserved = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mLanded = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mLostAnswers = 0;
  std::uint64_t mCredited = 0;
  std::uint64_t mReruns = 0; ///< runs of a request that had run before
  std::uint64_t mKilled = 0;
  std::uint64_t mReleased = 0;
  std::uint64_t mLowered = 0;
  std::uint64_t mClosed = 0;
};

/**
 * @brief Routers' ledgers, one shard of a store, peers' messages and two operators.
 *
 * Each step is drawn from one number, so that a schedule can be replayed and shortened. Faults are
 * drawn too, or brought about by Strike() at a step of a procedure.
 */
class BudgetSimulation
{
public:
  struct Options
  {
    std::size_t mRouters = 3;
    std::string mPolicy = "shrinking";
    std::string mMutant{};
    bool mFaults = true; ///< draw faults, not only the healthy events
    bool mLowers = true; ///< operators also lower budgets
  };
  /// Called when a router is about to do a step.
  using AtStep = std::function<void(Step, std::size_t)>;

  BudgetSimulation(const Options& aOptions, AtStep aAtStep);

  void RunEvent(std::uint64_t aDraw);                  ///< one event, then all checks
  void InjectFault(Fault aFault, std::size_t aRouter); ///< brings a fault about now
  void EndFaults();                                    ///< ends all faults, reports everything
  const std::string& Violation() const { return mViolation; }
  const Coverage& Seen() const { return mSeen; }
  const std::string& LastEvent() const { return mEvent; }

private:
  struct Stream
  {
    std::size_t mRequest = 0;
    std::string mBudget;
    Tokens mBound = 0;
  };
  struct Router
  {
    std::unique_ptr<Ledger> mLedger;
    std::int64_t mVersion = 1; ///< configuration in force here
    std::vector<Stream> mStreams;
    std::optional<std::pair<Revision, ShardRecord>> mRead;
    std::int64_t mSent = 0; ///< batch of the commit that it waits for
    int mFrozen = 0;        ///< steps
    int mStoreCut = 0;
    int mAnswersCut = 0;
    bool mLoseNext = false;
    bool mGiveUpNext = false; ///< its next commit lands after it gave up waiting
    bool mBreakNext = false;  ///< its next answer breaks off halfway
    bool mUnresolved = false; ///< an answer was lost and not yet resolved
    bool mClosing = false;
    bool mGone = false;
    bool mKilled = false;
    bool mReleased = false;
    TimePoint mWrote{};
  };
  struct Commit
  {
    std::size_t mRouter = 0;
    std::int64_t mBatch = 0;
    Revision mCompare = 0;
    ShardRecord mRecord;
    bool mWaited = true; ///< whether its router still waits for the answer
  };
  struct Message
  {
    std::size_t mTaker = 0;
    std::size_t mGiver = 0;
    std::string mId;
    std::string mBudget;
    Tokens mTokens = 0;
    std::optional<Transfer> mAnswer;
  };
  struct Request
  {
    std::string mBudget;
    Tokens mBound = 0;
    Tokens mMostUsed = 0;     ///< by any run
    Tokens mMostSurvived = 0; ///< by a run whose router was not killed before it reported
    std::set<std::string> mKeys{};
  };

  // Events, BudgetSimulation.cpp.
  std::size_t AddRouter();
  std::optional<std::size_t> Active(Random& aRandom);
  void CallRequest(Random& aRandom, std::size_t aRouter, std::optional<std::size_t> aRetried);
  void FinishStream(Random& aRandom, std::size_t aRouter);
  void StoreStep(Random& aRandom, std::size_t aRouter);
  void SendCommit(std::size_t aRouter);
  void Land(Random& aRandom, std::size_t aIndex);
  void GiveUpWait(std::size_t aRouter);
  void Ask(Random& aRandom, std::size_t aTaker);
  void Deliver(Random& aRandom, std::size_t aIndex);
  ConfiguredBudget Stated(std::int64_t aVersion, const std::string& aBudget) const;
  PlanInput Input(std::size_t aRouter) const;

  // Faults and operators, BudgetSimulationFaults.cpp.
  void DrawFault(Random& aRandom, std::size_t aRouter);
  void Kill(std::size_t aRouter);
  void Operate(Random& aRandom);
  void ReleaseDead(std::size_t aRouter);
  void ReclaimByTime();
  void Drain(std::size_t aRouter);

  // Checks, BudgetSimulationChecks.cpp.
  void Check();
  void CheckRights(const std::string& aBudget);
  void CheckBills();
  Tokens BilledOf(const Request& aRequest) const;
  void CheckLanded(const ShardRecord& aBefore);
  void CheckHealed();
  void Fail(const std::string& aText);

  Options mOptions;
  AtStep mAtStep;
  std::unique_ptr<GrantPolicy> mPolicy;
  std::vector<std::string> mBudgets;
  int mShard = 0;
  TimePoint mNow{ std::chrono::hours(1) };
  Revision mRevision = 1;
  ShardRecord mStore;
  std::vector<std::pair<Revision, ShardRecord>> mHistory;
  std::vector<std::map<std::string, Tokens>> mVersions; ///< prepaid figures by version - 1
  std::vector<Router> mRouters;                         ///< all incarnations that ever were
  std::vector<Commit> mCommits;                         ///< under way
  std::vector<Message> mMessages;
  std::vector<Request> mRequests;
  std::map<std::string, Tokens> mMostPrepaid;
  std::size_t mNextTransfer = 0;
  int mStoreDown = 0;
  int mStoreSlow = 0;
  int mStoreStale = 0;
  int mPeersCut = 0;
  bool mSomeLost = false; ///< a kill or a lost transfer may have stranded rights
  Coverage mSeen;
  std::string mEvent;
  std::string mViolation;
};

} // namespace gentianloom::fault

#endif
