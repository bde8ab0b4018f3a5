#include "RequestScenario.h"

#include "gentianloom/outcome/Drain.h"

#include <algorithm>
#include <random>

namespace gentianloom::fault {

namespace {

constexpr Millis kAddressLifetime{ 2'000 };
constexpr Millis kMaxDrainTime{ 20'000 };
constexpr Millis kTick{ 100 };
constexpr int kMaxTicks = 600;
constexpr int kMaxRequestTicks = 80;

constexpr std::string_view kMutantIgnoreOpenRequests = "stops with requests open";
constexpr std::string_view kMutantRefuseEarly = "refuses within the lifetime of its address";

/// Simulates a router that drains while callers that know its address still connect.
class DrainSimulation
{
public:
  explicit DrainSimulation(const CellParameters& aParameters)
    : mParameters(aParameters)
    , mRandom(static_cast<std::mt19937::result_type>(aParameters.mSeed))
  {
  }

  RunResult Run()
  {
    for (int n = 0; n < 5; ++n) {
      AcceptRequest();
    }
    mDrain.OnSignal(mClock.Now());
    const auto signalTime = mClock.Now();
    for (int n = 0; n < kMaxTicks && !mHasStopped; ++n) {
      Tick(mClock.Now() - signalTime);
    }
    if (!mHasStopped && !mWasKilled) {
      RecordViolation("the router did not stop");
    }
    RunResult out;
    out.mFaultsInjected = mFaultsInjected;
    out.mCheckedInvariants = { Invariant::StopInterruptsNothing, Invariant::NotRunIsTruthful };
    out.mViolation = mViolation;
    return out;
  }

private:
  bool HasFault(Fault aFault) const
  {
    return std::find(mParameters.mFaults.begin(), mParameters.mFaults.end(), aFault) !=
           mParameters.mFaults.end();
  }

  void RecordViolation(const std::string& aText)
  {
    if (mViolation.empty()) {
      mViolation = aText;
    }
  }

  void AcceptRequest()
  {
    mOpenRequests.push_back(1 + static_cast<int>(mRandom() % kMaxRequestTicks));
  }

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

  void InjectFaults()
  {
    if (mFaultsInjected || StepOf(mDrain.Phase()) != mParameters.mStep) {
      return;
    }
    mFaultsInjected = true;
    if (HasFault(Fault::RouterKilled)) {
      mWasKilled = true; // the drain ends here; its callers retry at another router, see request.*
      mHasStopped = true;
    }
    if (HasFault(Fault::RouterFrozen)) {
      mClock.Advance(std::chrono::seconds(3));
    }
    if (HasFault(Fault::GracefulStop)) {
      mDrain.OnSignal(mClock.Now());
      mSkipsWaits = true;
    }
    if (HasFault(Fault::CallerRetriesElsewhere) && !mOpenRequests.empty()) {
      mOpenRequests.pop_back(); // the caller disconnects
    }
    if (HasFault(Fault::EndpointCut) || HasFault(Fault::EndpointCrash)) {
      for (auto& it : mOpenRequests) {
        it = std::min(it, 1); // their outcome is reported at once
      }
    }
    mStoreUnavailableTicks =
      HasFault(Fault::StoreDown) || HasFault(Fault::StoreSlow) || HasFault(Fault::StoreCut) ? 20
                                                                                            : 0;
  }

  void Tick(Micros aSinceSignal)
  {
    const bool refusesEarly = mParameters.mMutant == kMutantRefuseEarly;
    const auto phase = mDrain.Phase();
    const bool isAccepting = phase == DrainPhase::AddressWithdrawn && !refusesEarly;
    // Callers use the list of addresses that they read before the signal until it expires.
    const bool callerArrives = aSinceSignal < kAddressLifetime && mRandom() % 3 == 0;
    if (callerArrives && isAccepting) {
      AcceptRequest();
    } else if (callerArrives && phase == DrainPhase::AddressWithdrawn) {
      RecordViolation("a caller was refused within the lifetime of its address");
    }
    mClock.Advance(kTick);
    for (auto& it : mOpenRequests) {
      --it;
    }
    std::erase_if(mOpenRequests, [](int it) { return it <= 0; });
    InjectFaults();
    if (mHasStopped) {
      return;
    }
    const int openCount =
      mParameters.mMutant == kMutantIgnoreOpenRequests ? 0 : static_cast<int>(mOpenRequests.size());
    if (mDrain.Advance(mClock.Now(), openCount) != DrainPhase::Flushing) {
      return;
    }
    InjectFaults();
    if (!mOpenRequests.empty() && !mSkipsWaits) {
      RecordViolation("the router stopped with " + std::to_string(mOpenRequests.size()) +
                      " requests open");
    }
    mHasStopped = mStoreUnavailableTicks-- <= 0 || mHasStopped;
  }

  CellParameters mParameters;
  std::mt19937 mRandom;
  ManualClock mClock;
  Drain mDrain{ { kAddressLifetime, kMaxDrainTime } };
  std::vector<int> mOpenRequests; ///< remaining ticks of each open request
  int mStoreUnavailableTicks = 0;
  bool mFaultsInjected = false;
  bool mSkipsWaits = false;
  bool mWasKilled = false;
  bool mHasStopped = false;
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
    const bool isFlush = aStep == Step::DrainFlush;
    switch (aFault) {
      case Fault::RouterKilled:
      case Fault::RouterFrozen:
      case Fault::GracefulStop:
        return "";
      case Fault::StoreDown:
      case Fault::StoreSlow:
      case Fault::StoreCut:
        return isFlush ? "" : "only the flush writes to the key-value service";
      case Fault::StoreStale:
      case Fault::StoreLosesAnswer:
        return "the flush writes by grant.report, bill.commit and intent.resolve, which cover it";
      case Fault::EndpointCut:
      case Fault::EndpointCrash:
      case Fault::CallerRetriesElsewhere:
        return isFlush ? "no request is open at the flush" : "";
      case Fault::RoutersCut:
      case Fault::OneWayCut:
      case Fault::LaggingInstanceList:
        return "membership announces the drain; the router serves for the lifetime of its address "
               "whether or not the others have heard of it";
      default:
        return "affects single requests, see request.*";
    }
  }

  std::vector<std::string> Mutants() const override
  {
    return { std::string(kMutantIgnoreOpenRequests), std::string(kMutantRefuseEarly) };
  }

  RunResult Run(const CellParameters& aParameters) override
  {
    return DrainSimulation(aParameters).Run();
  }
};

} // namespace

ScenarioPtr MakeDrainScenario()
{
  return std::make_unique<DrainScenario>();
}

} // namespace gentianloom::fault
