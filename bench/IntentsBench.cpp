#include "BenchReport.h"

#include "ForwardingStore.h"
#include "MemoryStore.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/outcome/IntentCoordinator.h"

#include <array>
#include <memory>
#include <random>

namespace gentianloom::bench {

namespace {

constexpr std::size_t kRouters = 7;
constexpr int kCallsASecond = 3;
constexpr int kRunSeconds = 1'200;
constexpr int kOutageStart = 200;
constexpr int kCrashAfter = 5; ///< seconds into the outage
constexpr int kRetrySeconds = 2;
constexpr int kDeadlineSeconds = 60;
constexpr int kBlockSeconds = 10; ///< lifetime of a block of tickets

/// A key-value service that counts its writes and can be made unavailable.
class CountingStore final : public standin::ForwardingStore
{
public:
  explicit CountingStore(const Clock& aClock)
    : ForwardingStore(mStore)
    , mStore(aClock)
  {
  }

  bool mAway = false;
  std::int64_t mWrites = 0;

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override
  {
    return mAway ? Result<RangeResponse>(Away(aStep)) : mStore.Range(aKey, aIsPrefix, aStep);
  }
  CommitResult Commit(const Transaction& aTransaction, Step aStep) override
  {
    if (mAway) {
      CommitResult out;
      out.mEffect = Effect::NotApplied;
      out.mError = Away(aStep);
      return out;
    }
    ++mWrites;
    return mStore.Commit(aTransaction, aStep);
  }
  Result<LeaseId> GrantLease(std::chrono::seconds aTtl, Step aStep) override
  {
    mWrites += mAway ? 0 : 1;
    return mAway ? Result<LeaseId>(Away(aStep)) : mStore.GrantLease(aTtl, aStep);
  }

private:
  static Error Away(Step aStep)
  {
    return MakeError(ErrorCode::PlatformUnavailable, aStep, "key-value service", "away");
  }
  standin::MemoryStore mStore;
};

/// Outcomes of the calls of one run.
struct Tally
{
  std::int64_t mCalls = 0;
  std::int64_t mDone = 0;
  std::int64_t mRefused = 0; ///< answered "not run" until the deadline
  std::int64_t mUnknown = 0; ///< answered "unknown" although the call never ran
  std::int64_t mWrites = 0;
};

struct WaitingCall
{
  std::string mKey;
  int mGiveUpAt = 0;
  int mNextTry = 0;
  std::size_t mRouter = 0;
};

/// One run of a policy: calls arrive, the key-value service has an outage, in which a router may
/// crash.
class IntentRun
{
public:
  IntentRun(bool aTickets, int aOutage, bool aCrash, std::uint64_t aSeed)
    : mTickets(aTickets)
    , mOutage(aOutage)
    , mCrash(aCrash)
    , mRandom(static_cast<std::mt19937::result_type>(aSeed))
  {
    for (std::size_t n = 0; n < kRouters; ++n) {
      mDuties[n] = std::make_unique<IntentCoordinator>(
        mStore, mSettings, "router-" + std::to_string(n), mClock, mMetrics);
    }
  }

  Tally Run()
  {
    std::vector<WaitingCall> waiting;
    for (int now = 0; now < kRunSeconds; ++now) {
      mStore.mAway = now >= kOutageStart && now < kOutageStart + mOutage;
      const bool crashes = mCrash && now == kOutageStart + kCrashAfter;
      mDead = crashes ? 0 : mDead;
      for (int n = 0; n < kCallsASecond; ++n) {
        ++mTally.mCalls;
        waiting.push_back({ "key-" + std::to_string(mTally.mCalls),
                            now + kDeadlineSeconds,
                            now,
                            mRandom() % kRouters });
      }
      std::erase_if(waiting, [&](WaitingCall& it) { return Try(it, now); });
      if (mTickets && !mStore.mAway && now % kBlockSeconds == 0) {
        mStore.mWrites += kRouters;
      }
      mClock.Advance(std::chrono::seconds(1));
    }
    mTally.mWrites = mStore.mWrites;
    return mTally;
  }

private:
  /// @return whether the call has its final response
  bool Try(WaitingCall& aCall, int aNow)
  {
    if (aNow < aCall.mNextTry) {
      return false;
    }
    if (aNow >= aCall.mGiveUpAt) {
      ++mTally.mRefused;
      return true;
    }
    aCall.mNextTry = aNow + kRetrySeconds;
    aCall.mRouter = (aCall.mRouter + 1) % kRouters;
    return mTickets ? TryTicket(aCall) : TryIntent(aCall);
  }

  bool TryIntent(const WaitingCall& aCall)
  {
    if (static_cast<int>(aCall.mRouter) == mDead) {
      return false; // the caller finds nobody there and comes to another router
    }
    auto& duty = *mDuties[aCall.mRouter];
    const auto permit = duty.Begin({ aCall.mKey, "f", mClock.Now() + std::chrono::seconds(10) });
    if (!permit.mMayRun) {
      return false;
    }
    duty.Resolve(permit, IntentState::Done, { 200, "", "x" });
    duty.FlushOnce();
    ++mTally.mDone;
    return true;
  }

  /// The owner of a key's range runs the call without a prior write. If the owner crashes, its list
  /// of calls is lost.
  bool TryTicket(const WaitingCall& aCall)
  {
    const auto owner = StableHash(aCall.mKey) % kRouters;
    if (static_cast<int>(owner) == mDead) {
      ++mTally.mUnknown;
      return true;
    }
    mStore.mWrites += 1; // the resolution, in the outage's end at the latest
    ++mTally.mDone;
    return true;
  }

  bool mTickets;
  int mOutage;
  bool mCrash;
  std::mt19937 mRandom;
  ManualClock mClock;
  Metrics mMetrics;
  IntentSettings mSettings;
  CountingStore mStore{ mClock };
  std::array<std::unique_ptr<IntentCoordinator>, kRouters> mDuties;
  int mDead = -1;
  Tally mTally;
};

} // namespace

BenchReport RunIntentsBench(const BenchOptions& aOptions)
{
  BenchReport out;
  for (const int outage : { 0, 10, 60, 300 }) {
    for (const bool crash : { false, true }) {
      for (const bool tickets : { false, true }) {
        if (crash && outage == 0) {
          continue;
        }
        const auto it = IntentRun(tickets, outage, crash, aOptions.mSeed).Run();
        out.mRuns.push_back(
          { { "policy", tickets ? "tickets (model)" : "refusal" },
            { "outage_s", outage },
            { "crash", crash },
            { "calls", it.mCalls },
            { "done", it.mDone },
            { "false_refusals", it.mRefused },
            { "false_unknowns", it.mUnknown },
            { "writes_a_second", static_cast<double>(it.mWrites) / kRunSeconds } });
      }
    }
  }
  return out;
}

} // namespace gentianloom::bench
