#include "BudgetScenario.h"

#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

constexpr int kSteps = 500;
constexpr int kWarmUp = 60;

bool IsOfEndpoint(Fault aFault)
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
    if (IsOfEndpoint(aFault) && aStep != Step::BillStage && aStep != Step::RequestSettle) {
      return "no endpoint takes part in this step";
    }
    return aFault == Fault::LaggingInstanceList ? "the step does not read the instance list" : "";
  }

  std::vector<std::string> Plants() const override { return { kMutants.begin(), kMutants.end() }; }

  CellRun Run(const CellOrder& aOrder) override
  {
    CellRun out;
    out.mChecked = { Promise::NoOverspend, Promise::BilledOnce };
    BudgetSimulation::Options options;
    options.mRouters = 3 + aOrder.mSeed % 5;
    options.mMutant = aOrder.mPlant;
    options.mFaults = false;
    BudgetSimulation* world = nullptr;
    int events = 0;
    BudgetSimulation made(options, [&](Step aStep, std::size_t aRouter) {
      if (aStep != aOrder.mStep || events < kWarmUp || out.mStruck) {
        return;
      }
      out.mStruck = true;
      for (const auto it : aOrder.mFaults) {
        world->InjectFault(it, aRouter);
      }
    });
    world = &made;
    Random random(aOrder.mSeed);
    for (; events < kSteps; ++events) {
      Prepare(made, aOrder.mStep, events);
      made.RunEvent(random.Next());
    }
    made.ShutDownAndCheck();
    out.mViolation = made.Violation();
    return out;
  }

private:
  /// Some steps are only done by a router that leaves or that lost an answer.
  static void Prepare(BudgetSimulation& aWorld, Step aStep, int aEvent)
  {
    if (aEvent != kWarmUp) {
      return;
    }
    if (aStep == Step::GrantReturn) {
      aWorld.InjectFault(Fault::GracefulStop, 0);
    }
    if (aStep == Step::BillRecover) {
      aWorld.InjectFault(Fault::StoreLosesAnswer, 0);
      aWorld.InjectFault(Fault::StoreLosesAnswer, 1);
    }
  }
};

} // namespace

ScenarioPtr MakeBudgetScenario()
{
  return std::make_unique<BudgetScenario>();
}

} // namespace gentianloom::fault
