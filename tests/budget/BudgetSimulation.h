#ifndef GENTIANLOOM_TESTS_BUDGET_BUDGET_SIMULATION_H
#define GENTIANLOOM_TESTS_BUDGET_BUDGET_SIMULATION_H

#include "Scenario.h"

#include "gentianloom/budget/BudgetView.h"
#include "gentianloom/budget/Ledger.h"
#include "gentianloom/external/KeyValueStore.h"

#include <array>
#include <memory>

namespace gentianloom::fault {

/// Deterministic random numbers (splitmix64), the same on every platform.
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

/// Maximum number of incarnations in one simulation; a killed router is replaced until it is
/// reached.
inline constexpr std::size_t kMaxIncarnations = 12;

// Known defects that a simulation can include, to check that the invariants detect them.
// kMutantLostAnswer treats a write of unknown outcome as committed. kMutantReclaim frees the tokens
// of a router that has not written for some time. kMutantTransfer credits the same transfer again.
// kMutantBill bills each run of a request under a key of its own.
inline constexpr std::string_view kMutantLostAnswer = "double refill after a lost answer";
inline constexpr std::string_view kMutantReclaim = "reclaim by time only";
inline constexpr std::string_view kMutantTransfer = "transfer credited twice";
inline constexpr std::string_view kMutantBill = "bill counted twice";
inline constexpr std::array kMutants = { kMutantLostAnswer,
                                         kMutantReclaim,
                                         kMutantTransfer,
                                         kMutantBill };

/// How often each kind of event occurred.
struct EventCounts
{
  std::uint64_t mReserved = 0;    ///< reservations made
  std::uint64_t mRefused = 0;     ///< reservations refused
  std::uint64_t mCommitted = 0;   ///< batches committed
  std::uint64_t mConflicts = 0;   ///< batches rejected because the revision had changed
  std::uint64_t mLostAnswers = 0; ///< commits whose answer was lost
  std::uint64_t mCredited = 0;    ///< transfers credited to the taker
  std::uint64_t mReruns = 0;      ///< repeated runs of a request
  std::uint64_t mKilled = 0;      ///< routers killed
  std::uint64_t mReleased = 0;    ///< killed routers whose holdings an operator released
  std::uint64_t mLowered = 0;     ///< budgets lowered by an operator
  std::uint64_t mClosed = 0;      ///< routers that returned all tokens and closed their holdings
};

/**
 * @brief Simulates routers' ledgers, one shard of a store, messages between peers, and operators.
 *
 * Each event is derived from one random number, so that a schedule can be replayed and shortened.
 * Faults occur at random or are injected by InjectFault() at a step of a procedure.
 */
class BudgetSimulation
{
public:
  struct Options
  {
    std::size_t mRouters = 3;
    std::string mPolicy = "shrinking";
    std::string mMutant{}; ///< one of kMutants, or empty
    bool mFaults = true;   ///< random events include faults
    bool mOperatorsLowerBudgets = true;
  };
  /// Called before a router executes a step of a procedure, with the step and the router's index.
  using StepCallback = std::function<void(Step, std::size_t)>;

  BudgetSimulation(const Options& aOptions, StepCallback aOnStep);

  /// @brief Runs one event and then all checks.
  void RunEvent(std::uint64_t aRandomValue);

  /// @brief Makes a fault occur now.
  void InjectFault(Fault aFault, std::size_t aRouter);

  /// @brief Ends all faults, shuts all routers down, and checks that all bills were reported and
  ///        all unused tokens returned.
  void ShutDownAndCheck();

  /// @brief Description of the first violated invariant, empty if none is.
  const std::string& Violation() const { return mViolation; }
  const EventCounts& Counts() const { return mCounts; }
  const std::string& LastEvent() const { return mEvent; }

private:
  /// A request in flight.
  struct Stream
  {
    std::size_t mRequest = 0;
    std::string mBudget;
    Tokens mMaxTokens = 0; ///< tokens reserved
  };
  struct Router
  {
    std::unique_ptr<Ledger> mLedger;
    std::int64_t mVersion = 1; ///< configuration version of this router
    std::vector<Stream> mStreams;
    std::optional<std::pair<Revision, ShardRecord>> mReadShard;
    std::int64_t mAwaitedBatch = 0; ///< batch whose commit it waits for; 0 if none
    int mFrozenSteps = 0;           ///< remaining steps in which it is paused
    int mStoreCutSteps = 0;         ///< remaining steps in which its calls do not reach the store
    int mAnswersCutSteps = 0;       ///< remaining steps in which the store's answers are lost
    bool mLosesNextAnswer = false;
    bool mTimesOutNextCommit = false;  ///< its next commit takes effect after a timeout
    bool mBreaksNextStream = false;    ///< its next stream ends halfway
    bool mHasUnresolvedCommit = false; ///< it has not read since an answer was lost
    bool mIsClosing = false;
    bool mHasStopped = false;
    bool mWasKilled = false;
    bool mReleased = false; ///< an operator released its holdings after a kill
    TimePoint mLastWriteAt{};
  };
  struct Commit
  {
    std::size_t mRouter = 0;
    std::int64_t mBatch = 0;
    Revision mExpectedRevision = 0; ///< the commit conflicts if the store has another revision
    ShardRecord mRecord;
    bool mIsAwaited = true; ///< whether its router still waits for the answer
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
    Tokens mMaxTokens = 0;   ///< tokens that each run reserves
    Tokens mMaxUsed = 0;     ///< largest number of tokens that a run may have used
    Tokens mMaxSurvived = 0; ///< not used
    std::set<std::string> mKeys{};
  };

  // Events, BudgetSimulation.cpp.
  std::size_t AddRouter();
  std::optional<std::size_t> PickActiveRouter(Random& aRandom);
  void CallRequest(Random& aRandom,
                   std::size_t aRouter,
                   std::optional<std::size_t> aRetriedRequest);
  void FinishStream(Random& aRandom, std::size_t aRouter);
  void AdvanceStoreCall(Random& aRandom, std::size_t aRouter);
  void SendCommit(std::size_t aRouter);
  void ProcessCommit(Random& aRandom, std::size_t aIndex);
  void TimeOutCommit(std::size_t aRouter);
  void RequestTransfer(Random& aRandom, std::size_t aTaker);
  void DeliverMessage(Random& aRandom, std::size_t aIndex);
  ConfiguredBudget FindConfiguredBudget(std::int64_t aVersion, const std::string& aBudget) const;
  PlanInput MakePlanInput(std::size_t aRouter) const;

  // Faults and operators, BudgetSimulationFaults.cpp.
  void InjectRandomFault(Random& aRandom, std::size_t aRouter);
  void Kill(std::size_t aRouter);
  void RunOperator(Random& aRandom);
  void ReleaseKilled(std::size_t aRouter);
  void ReclaimByTime();
  void DrainRouter(std::size_t aRouter);

  // Checks, BudgetSimulationChecks.cpp.
  void Check();
  void CheckTokens(const std::string& aBudget);
  void CheckBills();
  Tokens BilledTokens(const Request& aRequest) const;
  void CheckCommit(const ShardRecord& aBefore);
  void CheckAfterRecovery();
  void ReportViolation(const std::string& aText);

  Options mOptions;
  StepCallback mOnStep;
  std::unique_ptr<GrantPolicy> mPolicy;
  std::vector<std::string> mBudgets;
  int mShard = 0;
  TimePoint mNow{ std::chrono::hours(1) };
  Revision mRevision = 1;
  ShardRecord mStore;
  std::vector<std::pair<Revision, ShardRecord>> mHistory;
  /// Prepaid tokens of each budget, by configuration version.
  std::vector<std::map<std::string, Tokens>> mVersions; ///< of version n at index n - 1
  std::vector<Router> mRouters; ///< all incarnations, including stopped ones
  std::vector<Commit> mCommits; ///< sent and not processed yet
  std::vector<Message> mMessages;
  std::vector<Request> mRequests;
  std::map<std::string, Tokens> mMaxPrepaid;
  std::size_t mNextTransfer = 0;
  // Remaining steps of faults of the store and of the connections between routers.
  int mStoreDownSteps = 0;
  int mStoreSlowSteps = 0;
  int mStoreStaleSteps = 0;
  int mPeersCutSteps = 0;
  bool mTokensMayBeLost = false; ///< a kill or a lost transfer may have lost tokens
  EventCounts mCounts;
  std::string mEvent;
  std::string mViolation;
};

} // namespace gentianloom::fault

#endif
