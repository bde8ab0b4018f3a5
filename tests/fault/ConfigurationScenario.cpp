#include "ConfigurationScenario.h"

#include "ConfigurationSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

constexpr int kNewFile = 40;
constexpr int kOtherFile = 51;
constexpr Millis kPause{ 60'000 };

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
        return "no endpoint takes part in applying and spreading a configuration";
      case Fault::LaggingInstanceList:
        return "the platform's list of instances is not read; peers are found by membership";
      case Fault::LateAnswer:
      case Fault::DuplicateAnswer:
      case Fault::ReorderedAnswer:
        return aStep == Step::ApplicationSpread
                 ? ""
                 : "the service's answers come on the connection that asked, one at a time";
      case Fault::GracefulStop:
        return aStep == Step::ApplicationSpread
                 ? ""
                 : "a stopping router answers the operator's call in flight before it leaves";
      case Fault::CallerRetriesElsewhere:
        return aStep == Step::ApplicationSpread ? "the operator was answered before this step" : "";
      default:
        return "";
    }
  }

  std::vector<std::string> Plants() const override
  {
    return { "router takes any version",
             "head moves without condition",
             "lost answer told as not run" };
  }

  CellRun Run(const CellOrder& aOrder) override
  {
    ConfigurationWorld world(aOrder.mSeed, aOrder.mPlant);
    CellRun out;
    const auto strike = [&] {
      out.mStruck = true;
      for (const auto it : aOrder.mFaults) {
        Strike(world, it, aOrder);
      }
    };
    if (aOrder.mStep == Step::ApplicationCheck) {
      StrikeBeforeApply(world, strike);
    } else if (aOrder.mStep != Step::ApplicationSpread) {
      world.Port(0).mBeforeCommit = [&, struck = false](Step aStep) mutable {
        if (aStep == aOrder.mStep && !struck) {
          struck = true;
          strike();
        }
      };
    }
    world.Apply(0, kNewFile, "new");
    if (aOrder.mStep == Step::ApplicationSpread) {
      strike();
    }
    Spread(world, aOrder.mSeed);
    world.Heal();
    // The same order again, as an operator would who was told "unknown".
    world.Apply(0, kNewFile, "again");
    world.Heal();
    out.mChecked = { Promise::ConfigurationHolds, Promise::NotRunIsTrue };
    out.mViolation = world.Violation();
    return out;
  }

private:
  /// A killed router has not begun to apply: it restarts, and the operator asks it again.
  static void StrikeBeforeApply(ConfigurationWorld& aWorld, const std::function<void()>& aStrike)
  {
    try {
      aStrike();
    } catch (const RouterDied&) {
      aWorld.Restart(0);
    }
  }

  static void Spread(ConfigurationWorld& aWorld, std::uint64_t aSeed)
  {
    for (std::size_t n = 0; n < ConfigurationWorld::kRouters; ++n) {
      const auto router = (n + aSeed) % ConfigurationWorld::kRouters;
      aWorld.PollStore(router);
      aWorld.PollPeers(router);
    }
  }

  static void Strike(ConfigurationWorld& aWorld, Fault aFault, const CellOrder& aOrder)
  {
    const bool spreading = aOrder.mStep == Step::ApplicationSpread;
    auto& port = aWorld.Port(spreading ? 1 : 0);
    switch (aFault) {
      case Fault::RouterKilled:
        if (!spreading) {
          throw RouterDied();
        }
        aWorld.Restart(1);
        break;
      case Fault::RouterFrozen:
        aWorld.Apply(2, kOtherFile, "meanwhile");
        aWorld.Time().Advance(kPause);
        break;
      case Fault::OperatorsRace:
        aWorld.Apply(1, kOtherFile, "rival");
        break;
      case Fault::CallerRetriesElsewhere:
        aWorld.Retry(1, kNewFile, "new");
        break;
      case Fault::StoreDown:
        for (std::size_t n = 0; n < ConfigurationWorld::kRouters; ++n) {
          aWorld.Port(n).mDown = true;
        }
        aWorld.Restart(2);
        break;
      case Fault::StoreSlow:
        port.mLate = true;
        break;
      case Fault::StoreStale:
        port.mStale = &aWorld.OldState();
        aWorld.PollStore(spreading ? 1 : 0);
        if (aOrder.mStep == Step::ApplicationCheck) {
          // A router that knows nothing newer is asked to apply what it reads as in force.
          aWorld.mPeersCut = true;
          aWorld.Restart(0);
          aWorld.Apply(0, 0, "old file");
        }
        break;
      case Fault::StoreLosesAnswer:
        port.mLostAnswers = 1 + static_cast<int>(aOrder.mSeed % 3);
        break;
      case Fault::OneWayCut:
        port.mDeaf = true;
        break;
      case Fault::StoreCut:
        port.mDown = true;
        break;
      case Fault::RoutersCut:
        aWorld.mPeersCut = true;
        break;
      case Fault::TopUpDuringCut:
        aWorld.mPeersCut = true;
        aWorld.Port(2).mDown = true;
        aWorld.Apply(1, kOtherFile, "top-up");
        break;
      case Fault::GracefulStop:
        aWorld.Restart(1);
        break;
      case Fault::LateAnswer:
      case Fault::ReorderedAnswer:
        aWorld.Restart(1);
        aWorld.DeliverOldAnswer(1);
        break;
      case Fault::DuplicateAnswer:
        aWorld.DeliverOldAnswer(1);
        aWorld.DeliverOldAnswer(1);
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
