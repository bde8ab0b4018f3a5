#ifndef GENTIANLOOM_TESTS_FAULT_SCENARIO_H
#define GENTIANLOOM_TESTS_FAULT_SCENARIO_H

#include "gentianloom/base/Step.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom::fault {

/// Faults of the matrix; each is one row of its tables.
enum class Fault : std::uint8_t
{
  RouterKilled,
  RouterFrozen, ///< paused until its leases have expired, then resumed
  StoreDown,
  StoreSlow,
  StoreStale,
  StoreLosesAnswer, ///< the write is applied, but its response is lost
  RoutersCut,
  StoreCut,
  EndpointCut,
  OneWayCut,
  TopUpDuringCut,
  EndpointCrash,
  CrashingRequest,
  LateAnswer,
  DuplicateAnswer,
  ReorderedAnswer,
  OperatorsRace,
  LaggingInstanceList,
  GracefulStop,
  CallerRetriesElsewhere,
  Count
};

inline constexpr std::size_t kFaultCount = static_cast<std::size_t>(Fault::Count);

inline constexpr std::array<std::string_view, kFaultCount> kFaultNames = {
  "router killed",    "router frozen",      "store down",       "store slow",
  "store stale",      "store loses answer", "routers cut",      "store cut off",
  "endpoint cut off", "one-way cut",        "top-up in a cut",  "endpoint crash",
  "crashing request", "late answer",        "duplicate answer", "reordered answer",
  "operators race",   "lagging list",       "graceful stop",    "caller retries elsewhere",
};

/// Properties that must hold after every event, whatever fails.
enum class Invariant : std::uint8_t
{
  NoOverspend,
  BilledOnce,
  CompleteOwnResponse,
  NotRunIsTruthful,
  AtMostOnce,
  NoNewWorkWhileLeaving,
  StopInterruptsNothing,
  ConfigurationNeverReverts,
  Count
};

inline constexpr std::size_t kInvariantCount = static_cast<std::size_t>(Invariant::Count);

inline constexpr std::array<std::string_view, kInvariantCount> kInvariantNames = {
  "no overspend",
  "billed exactly once",
  "complete response of the caller's own request",
  "\"not run\" is truthful",
  "at most once",
  "no new work to a leaving endpoint",
  "a graceful stop interrupts no request",
  "configuration never reverts",
};

/// Parameters of one deterministic run.
struct CellParameters
{
  Step mStep = Step::RequestAccept;
  std::vector<Fault> mFaults; ///< one fault or a pair, all injected at mStep
  std::uint64_t mSeed = 1;
  std::string mMutant; ///< name of a defect to put into the code under test, or empty
};

/// Result of one run.
struct RunResult
{
  bool mFaultsInjected = false;              ///< whether every fault was injected at the step
  std::vector<Invariant> mCheckedInvariants; ///< checked after each event
  std::string mViolation; ///< first violation and the events before it; empty if there is none
};

/**
 * @brief Simulation of the procedures of one area, whose steps are columns of the matrix.
 *
 * A scenario runs the production decision code of the routers with a manual clock, fixed seeds and
 * fakes of the store, the endpoints, the callers and the operators. It runs the procedure several
 * times, injects the faults at the requested step of one of these runs, ends the faults, and checks
 * the invariants after each event.
 */
class Scenario
{
public:
  virtual ~Scenario() = default;

  /// @brief Returns the name of the area, as printed in the page.
  virtual std::string_view Name() const = 0;

  /// @brief Returns the steps that this scenario covers.
  virtual std::vector<Step> Steps() const = 0;

  /// @brief Returns why a fault cannot affect a step; empty if it can.
  virtual std::string NotApplicable(Fault aFault, Step aStep) const = 0;

  /**
   * @brief Returns the names of the mutants: defects that Run() can put into the code under test.
   *
   * A mutant that no cell detects shows that the cells check too little.
   */
  virtual std::vector<std::string> Mutants() const = 0;

  /// @brief Runs the procedure once with a fault or a pair of faults, and a mutant if one is named.
  virtual RunResult Run(const CellParameters& aParameters) = 0;
};

using ScenarioPtr = std::unique_ptr<Scenario>;

/// @brief Returns the scenarios of all areas. A new scenario is added in Scenarios.cpp.
std::vector<ScenarioPtr> AllScenarios();

} // namespace gentianloom::fault

#endif
