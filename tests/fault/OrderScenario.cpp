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
    const bool isStoreOutage = aFault == Fault::StoreDown || aFault == Fault::StoreCut;
    const bool stopsRouter = aFault == Fault::RouterKilled || aFault == Fault::RouterFrozen ||
                             aFault == Fault::GracefulStop;
    const bool isStoreResponse = aFault == Fault::StoreLosesAnswer || aFault == Fault::StoreSlow;
    const bool isEndpointCut = aFault == Fault::EndpointCut || aFault == Fault::OneWayCut;
    const bool isOrderDelivery = aFault == Fault::LateAnswer || aFault == Fault::DuplicateAnswer ||
                                 aFault == Fault::ReorderedAnswer;
    if (stopsRouter || aFault == Fault::EndpointCrash ||
        (isStoreOutage && aStep == Step::OrderLease) ||
        (isStoreResponse && aStep == Step::OrderLease) ||
        (isEndpointCut && aStep != Step::OrderLease) ||
        (isOrderDelivery && aStep == Step::OrderSend)) {
      return {};
    }
    if (isStoreOutage || isStoreResponse || aFault == Fault::StoreStale) {
      return aStep == Step::OrderLease
               ? "a lock is acquired by compare-and-swap, without a read before it"
               : "the step does not call the key-value service";
    }
    if (isEndpointCut) {
      return "the step does not call an endpoint";
    }
    if (isOrderDelivery) {
      return "the step sends no order";
    }
    return "orders do not depend on callers, budgets, concurrent operators or the instance list";
  }

  std::vector<std::string> Mutants() const override
  {
    return { kMutantNames.begin() + 1, kMutantNames.end() };
  }

  RunResult Run(const CellParameters& aParameters) override
  {
    const auto it = std::find(kMutantNames.begin(), kMutantNames.end(), aParameters.mMutant);
    return OrderSimulation(aParameters, static_cast<Mutant>(it - kMutantNames.begin())).Run();
  }
};

} // namespace

ScenarioPtr MakeOrderScenario()
{
  return std::make_unique<OrderScenario>();
}

} // namespace gentianloom::fault
