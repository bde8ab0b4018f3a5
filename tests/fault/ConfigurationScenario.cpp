#include "ConfigurationScenario.h"

#include "ConfigurationSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

constexpr int kNewFile = 40;
constexpr int kOtherFile = 51;
constexpr Millis kFreezeTime{ 60'000 };

class ConfigurationScenario final : public Scenario
{
public:
  std::string_view Name() const override { return "configuration"; }

  std::vector<Step> Steps() const override
  {
    return { Step::ApplicationCheck,
             Step::ApplicationStore,
             Step::ApplicationCommit,
             Step::ApplicationSpread };
  }

  std::string NotApplicable(Fault aFault, Step aStep) const override
  {
    switch (aFault) {
      case Fault::EndpointCut:
      case Fault::EndpointCrash:
      case Fault::CrashingRequest:
        return "no endpoint is involved in applying and distributing a configuration";
      case Fault::LaggingInstanceList:
        return "the instance list is not read; peers are found by membership";
      case Fault::LateAnswer:
      case Fault::DuplicateAnswer:
      case Fault::ReorderedAnswer:
        return aStep == Step::ApplicationSpread
                 ? ""
                 : "each response of the service arrives on the connection of its request";
      case Fault::GracefulStop:
        return aStep == Step::ApplicationSpread
                 ? ""
                 : "a draining router completes the operator's request before it stops";
      case Fault::CallerRetriesElsewhere:
        return aStep == Step::ApplicationSpread ? "the operator got the response before this step"
                                                : "";
      default:
        return "";
    }
  }

  std::vector<std::string> Mutants() const override
  {
    return { "router accepts any version",
             "head updated without conditions",
             "lost response reported as not run" };
  }

  RunResult Run(const CellParameters& aParameters) override
  {
    ConfigurationSimulation simulation(aParameters.mSeed, aParameters.mMutant);
    RunResult out;
    const auto injectFaults = [&] {
      out.mFaultsInjected = true;
      for (const auto it : aParameters.mFaults) {
        InjectFault(simulation, it, aParameters);
      }
    };
    if (aParameters.mStep == Step::ApplicationCheck) {
      InjectBeforeApply(simulation, injectFaults);
    } else if (aParameters.mStep != Step::ApplicationSpread) {
      simulation.StoreOf(0).mBeforeCommit = [&, injected = false](Step aStep) mutable {
        if (aStep == aParameters.mStep && !injected) {
          injected = true;
          injectFaults();
        }
      };
    }
    simulation.Apply(0, kNewFile, "new");
    if (aParameters.mStep == Step::ApplicationSpread) {
      injectFaults();
    }
    Distribute(simulation, aParameters.mSeed);
    simulation.ShutDownAndCheck();
    // Applies the same file again, as an operator does after the outcome "unknown".
    simulation.Apply(0, kNewFile, "again");
    simulation.ShutDownAndCheck();
    out.mCheckedInvariants = { Invariant::ConfigurationNeverReverts, Invariant::NotRunIsTruthful };
    out.mViolation = simulation.Violation();
    return out;
  }

private:
  /// Injects the faults before the apply begins. A killed router restarts and is then asked.
  static void InjectBeforeApply(ConfigurationSimulation& aSimulation,
                                const std::function<void()>& aInjectFaults)
  {
    try {
      aInjectFaults();
    } catch (const RouterKilled&) {
      aSimulation.Restart(0);
    }
  }

  static void Distribute(ConfigurationSimulation& aSimulation, std::uint64_t aSeed)
  {
    for (std::size_t n = 0; n < ConfigurationSimulation::kRouterCount; ++n) {
      const auto router = (n + aSeed) % ConfigurationSimulation::kRouterCount;
      aSimulation.PollStore(router);
      aSimulation.PollPeers(router);
    }
  }

  static void InjectFault(ConfigurationSimulation& aSimulation,
                          Fault aFault,
                          const CellParameters& aParameters)
  {
    const bool isSpreading = aParameters.mStep == Step::ApplicationSpread;
    auto& store = aSimulation.StoreOf(isSpreading ? 1 : 0);
    switch (aFault) {
      case Fault::RouterKilled:
        if (!isSpreading) {
          throw RouterKilled();
        }
        aSimulation.Restart(1);
        break;
      case Fault::RouterFrozen:
        aSimulation.Apply(2, kOtherFile, "meanwhile");
        aSimulation.Time().Advance(kFreezeTime);
        break;
      case Fault::OperatorsRace:
        aSimulation.Apply(1, kOtherFile, "rival");
        break;
      case Fault::CallerRetriesElsewhere:
        aSimulation.Retry(1, kNewFile, "new");
        break;
      case Fault::StoreDown:
        for (std::size_t n = 0; n < ConfigurationSimulation::kRouterCount; ++n) {
          aSimulation.StoreOf(n).mIsDown = true;
        }
        aSimulation.Restart(2);
        break;
      case Fault::StoreSlow:
        store.mDelaysWrites = true;
        break;
      case Fault::StoreStale:
        store.mStaleEntries = &aSimulation.OldEntries();
        aSimulation.PollStore(isSpreading ? 1 : 0);
        if (aParameters.mStep == Step::ApplicationCheck) {
          // A router that knows no newer version is asked to apply the stale version that it reads.
          aSimulation.mPeersCutOff = true;
          aSimulation.Restart(0);
          aSimulation.Apply(0, 0, "old file");
        }
        break;
      case Fault::StoreLosesAnswer:
        store.mLostResponses = 1 + static_cast<int>(aParameters.mSeed % 3);
        break;
      case Fault::OneWayCut:
        store.mDropsResponses = true;
        break;
      case Fault::StoreCut:
        store.mIsDown = true;
        break;
      case Fault::RoutersCut:
        aSimulation.mPeersCutOff = true;
        break;
      case Fault::TopUpDuringCut:
        aSimulation.mPeersCutOff = true;
        aSimulation.StoreOf(2).mIsDown = true;
        aSimulation.Apply(1, kOtherFile, "top-up");
        break;
      case Fault::GracefulStop:
        aSimulation.Restart(1);
        break;
      case Fault::LateAnswer:
      case Fault::ReorderedAnswer:
        aSimulation.Restart(1);
        aSimulation.DeliverOldResponse(1);
        break;
      case Fault::DuplicateAnswer:
        aSimulation.DeliverOldResponse(1);
        aSimulation.DeliverOldResponse(1);
        break;
      default:
        break;
    }
  }
};

} // namespace

ScenarioPtr MakeConfigurationScenario()
{
  return std::make_unique<ConfigurationScenario>();
}

} // namespace gentianloom::fault
