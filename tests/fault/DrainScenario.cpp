#include "RequestScenario.h"

#include "gentianloom/outcome/Drain.h"

#include <algorithm>
#include <random>

namespace gentianloom::fault {

namespace {

constexpr Millis kLifetime{ 2'000 };
constexpr Millis kLimit{ 20'000 };
constexpr Millis kTick{ 100 };
constexpr int kMostTicks = 600;
constexpr int kLongestTicks = 80;

constexpr std::string_view kIgnoreOpen = "leaves with streams open";
constexpr std::string_view kRefuseEarly = "refuses within the lifetime of its address";

/// One router that leaves; callers with its address come until the address's lifetime has passed.
class DrainWorld
{
public:
  explicit DrainWorld(const CellOrder& aOrder)
    : mOrder(aOrder)
    , mRandom(static_cast<std::mt19937::result_type>(aOrder.mSeed))
  {
  }

  CellRun Run()
  {
    for (int n = 0; n < 5; ++n) {
      Take();
    }
    mDrain.OnSignal(mClock.Now());
    const auto signalled = mClock.Now();
    for (int n = 0; n < kMostTicks && !mEnded; ++n) {
      Tick(mClock.Now() - signalled);
    }
    if (!mEnded && !mKilled) {
      Violate("the router never ended");
    }
    CellRun out;
    out.mStruck = mStruck;
    out.mChecked = { Promise::StopCutsNothing, Promise::NotRunIsTrue };
    out.mViolation = mViolation;
    return out;
  }

private:
  bool Has(Fault aFault) const
  {
    return std::find(mOrder.mFaults.begin(), mOrder.mFaults.end(), aFault) != mOrder.mFaults.end();
  }

  void Violate(const std::string& aText)
  {
    if (mViolation.empty()) {
      mViolation = aText;
    }
  }

  void Take() { mOpen.push_back(1 + static_cast<int>(mRandom() % kLongestTicks)); }

  static Step StepOf(DrainPhase aPhase)
  {
    switch (aPhase) {
      case DrainPhase::Serving:
      case DrainPhase::AddressWithdrawn:
        return Step::DrainAnnounce;
      case DrainPhase::Draining:
        return Step::DrainServe;
      case DrainPhase::Flushing:
        break;
    }
    return Step::DrainFlush;
  }

  void Strike()
  {
    if (mStruck || StepOf(mDrain.Phase()) != mOrder.mStep) {
      return;
    }
    mStruck = true;
    if (Has(Fault::RouterKilled)) {
      mKilled = true; // no stop any more; its callers retry elsewhere, see request.*
      mEnded = true;
    }
    if (Has(Fault::RouterFrozen)) {
      mClock.Advance(std::chrono::seconds(3));
    }
    if (Has(Fault::GracefulStop)) {
      mDrain.OnSignal(mClock.Now());
      mHurried = true;
    }
    if (Has(Fault::CallerRetriesElsewhere) && !mOpen.empty()) {
      mOpen.pop_back(); // the caller left
    }
    if (Has(Fault::EndpointCut) || Has(Fault::EndpointCrash)) {
      for (auto& it : mOpen) {
        it = std::min(it, 1); // told their outcome at once
      }
    }
    mStoreAwayTicks =
      Has(Fault::StoreDown) || Has(Fault::StoreSlow) || Has(Fault::StoreCut) ? 20 : 0;
  }

  void Tick(Micros aSince)
  {
    const bool planted = mOrder.mPlant == kRefuseEarly;
    const auto phase = mDrain.Phase();
    const bool takes = phase == DrainPhase::AddressWithdrawn && !planted;
    // Callers that asked before the signal come for as long as their answer lives.
    const bool arrives = aSince < kLifetime && mRandom() % 3 == 0;
    if (arrives && takes) {
      Take();
    } else if (arrives && phase == DrainPhase::AddressWithdrawn) {
      Violate("a caller was refused within the lifetime of its address");
    }
    mClock.Advance(kTick);
    for (auto& it : mOpen) {
      --it;
    }
    std::erase_if(mOpen, [](int it) { return it <= 0; });
    Strike();
    if (mEnded) {
      return;
    }
    const int open = mOrder.mPlant == kIgnoreOpen ? 0 : static_cast<int>(mOpen.size());
    if (mDrain.Advance(mClock.Now(), open) != DrainPhase::Flushing) {
      return;
    }
    Strike();
    if (!mOpen.empty() && !mHurried) {
      Violate("the router left with " + std::to_string(mOpen.size()) + " requests open");
    }
    mEnded = mStoreAwayTicks-- <= 0 || mEnded;
  }

  CellOrder mOrder;
  std::mt19937 mRandom;
  ManualClock mClock;
  Drain mDrain{ { kLifetime, kLimit } };
  std::vector<int> mOpen; ///< ticks that each open request still takes
  int mStoreAwayTicks = 0;
  bool mStruck = false;
  bool mHurried = false;
  bool mKilled = false;
  bool mEnded = false;
  std::string mViolation;
};

class DrainScenario final : public Scenario
{
public:
  std::string_view Name() const override { return "drain"; }

  std::vector<Step> Steps() const override
  {
    return { Step::DrainAnnounce, Step::DrainServe, Step::DrainFlush };
  }

  std::string NotApplicable(Fault aFault, Step aStep) const override
  {
    const bool flush = aStep == Step::DrainFlush;
    switch (aFault) {
      case Fault::RouterKilled:
      case Fault::RouterFrozen:
      case Fault::GracefulStop:
        return "";
      case Fault::StoreDown:
      case Fault::StoreSlow:
      case Fault::StoreCut:
        return flush ? "" : "only the flush writes to the key-value service";
      case Fault::StoreStale:
      case Fault::StoreLosesAnswer:
        return "the flush's writes are those of grant.report, bill.commit and intent.resolve";
      case Fault::EndpointCut:
      case Fault::EndpointCrash:
      case Fault::CallerRetriesElsewhere:
        return flush ? "no request is open at the flush" : "";
      case Fault::RoutersCut:
      case Fault::OneWayCut:
      case Fault::LaggingInstanceList:
        return "news of leaving is membership's; the router serves for the addresses' lifetime "
               "whoever heard of it";
      default:
        return "touches single requests, see request.*";
    }
  }

  std::vector<std::string> Plants() const override
  {
    return { std::string(kIgnoreOpen), std::string(kRefuseEarly) };
  }

  CellRun Run(const CellOrder& aOrder) override { return DrainWorld(aOrder).Run(); }
};

} // namespace

ScenarioPtr MakeDrainScenario()
{
  return std::make_unique<DrainScenario>();
}

} // namespace gentianloom::fault
