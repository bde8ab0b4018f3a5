#include "OrderScenario.h"

#include "OrderSimulation.h"

namespace gentianloom::fault {

namespace {

using namespace orders;

class OrderScenario final : public Scenario
{
public:
  std::string_view Name() const override { return "orders to endpoints"; }

  std::vector<Step> Steps() const override
  {
    return { Step::OrderLease, Step::OrderSend, Step::OrderVerify };
  }

  std::string NotApplicable(Fault aFault, Step aStep) const override
  {
    const bool away = aFault == Fault::StoreDown || aFault == Fault::StoreCut;
    const bool stops = aFault == Fault::RouterKilled || aFault == Fault::RouterFrozen ||
                       aFault == Fault::GracefulStop;
    const bool answer = aFault == Fault::StoreLosesAnswer || aFault == Fault::StoreSlow;
    const bool cut = aFault == Fault::EndpointCut || aFault == Fault::OneWayCut;
    const bool order = aFault == Fault::LateAnswer || aFault == Fault::DuplicateAnswer ||
                       aFault == Fault::ReorderedAnswer;
    if (stops || aFault == Fault::EndpointCrash || (away && aStep == Step::OrderLease) ||
        (answer && aStep == Step::OrderLease) || (cut && aStep != Step::OrderLease) ||
        (order && aStep == Step::OrderSend)) {
      return {};
    }
    if (away || answer || aFault == Fault::StoreStale) {
      return aStep == Step::OrderLease ? "a lock is taken by compare-and-swap, not after a read"
                                       : "the step does not call the key-value service";
    }
    if (cut) {
      return "the step does not call an endpoint";
    }
    if (order) {
      return "the step sends no order";
    }
    return "orders depend on neither callers, budgets, operators' races nor the instance list";
  }

  std::vector<std::string> Plants() const override
  {
    return { kPlantNames.begin() + 1, kPlantNames.end() };
  }

  CellRun Run(const CellOrder& aOrder) override
  {
    const auto it = std::find(kPlantNames.begin(), kPlantNames.end(), aOrder.mPlant);
    return World(aOrder, static_cast<Plant>(it - kPlantNames.begin())).Run();
  }
};

} // namespace

ScenarioPtr MakeOrderScenario()
{
  return std::make_unique<OrderScenario>();
}

} // namespace gentianloom::fault
