#include "BudgetScenario.h"

#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

constexpr int kEventCount = 500;
constexpr int kWarmUpEvents = 60;

bool IsEndpointFault(Fault aFault)
{
  return aFault == Fault::EndpointCut || aFault == Fault::EndpointCrash ||
         aFault == Fault::CrashingRequest;
}

class BudgetScenario final : public Scenario
{
public:
  std::string_view Name() const override { return "budgets"; }

  std::vector<Step> Steps() const override
  {
    return { Step::RequestSettle, Step::GrantRead,   Step::GrantCommit,  Step::GrantReport,
             Step::GrantReturn,   Step::TransferAsk, Step::TransferGive, Step::TransferCredit,
             Step::BillStage,     Step::BillCommit,  Step::BillRecover };
  }

  std::string NotApplicable(Fault aFault, Step aStep) const override
  {
    if (IsEndpointFault(aFault) && aStep != Step::BillStage && aStep != Step::RequestSettle) {
      return "no endpoint is involved in this step";
    }
    return aFault == Fault::LaggingInstanceList ? "the step does not read the instance list" : "";
  }

  std::vector<std::string> Mutants() const override { return { kMutants.begin(), kMutants.end() }; }

  RunResult Run(const CellParameters& aParameters) override
  {
    RunResult out;
    out.mCheckedInvariants = { Invariant::NoOverspend, Invariant::BilledOnce };
    BudgetSimulation::Options options;
    options.mRouters = 3 + aParameters.mSeed % 5;
    options.mMutant = aParameters.mMutant;
    options.mFaults = false;
    BudgetSimulation* target = nullptr;
    int events = 0;
    BudgetSimulation simulation(options, [&](Step aStep, std::size_t aRouter) {
      if (aStep != aParameters.mStep || events < kWarmUpEvents || out.mFaultsInjected) {
        return;
      }
      out.mFaultsInjected = true;
      for (const auto it : aParameters.mFaults) {
        target->InjectFault(it, aRouter);
      }
    });
    target = &simulation;
    Random random(aParameters.mSeed);
    for (; events < kEventCount; ++events) {
      Prepare(simulation, aParameters.mStep, events);
      simulation.RunEvent(random.Next());
    }
    simulation.ShutDownAndCheck();
    out.mViolation = simulation.Violation();
    return out;
  }

private:
  /**
   * Injects the fault that leads to a step which rarely occurs: a grant is returned by a router
   * that drains, and a bill is recovered by a router that lost a response of the store.
   */
  static void Prepare(BudgetSimulation& aSimulation, Step aStep, int aEvent)
  {
    if (aEvent != kWarmUpEvents) {
      return;
    }
    if (aStep == Step::GrantReturn) {
      aSimulation.InjectFault(Fault::GracefulStop, 0);
    }
    if (aStep == Step::BillRecover) {
      aSimulation.InjectFault(Fault::StoreLosesAnswer, 0);
      aSimulation.InjectFault(Fault::StoreLosesAnswer, 1);
    }
  }
};

} // namespace

ScenarioPtr MakeBudgetScenario()
{
  return std::make_unique<BudgetScenario>();
}

} // namespace gentianloom::fault
