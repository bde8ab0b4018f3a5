#include "Matrix.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace gentianloom::fault {

namespace {

constexpr std::string_view kStateSymbols[] = { "✓", "–", "?", "RED" };

Scenario* FindScenario(const std::vector<ScenarioPtr>& aScenarios, Step aStep)
{
  for (const auto& it : aScenarios) {
    const auto steps = it->Steps();
    if (std::find(steps.begin(), steps.end(), aStep) != steps.end()) {
      return it.get();
    }
  }
  return nullptr;
}

std::vector<Step> SelectSteps(const MatrixOptions& aOptions)
{
  std::vector<Step> out;
  for (std::size_t n = 0; n < kStepCount; ++n) {
    const auto step = static_cast<Step>(n);
    if (step == Step::Settings || (aOptions.mStep && *aOptions.mStep != step)) {
      continue;
    }
    out.push_back(step);
  }
  return out;
}

std::vector<Fault> SelectFaults(const MatrixOptions& aOptions)
{
  std::vector<Fault> out;
  for (std::size_t n = 0; n < kFaultCount; ++n) {
    const auto fault = static_cast<Fault>(n);
    if (!aOptions.mFault || *aOptions.mFault == fault) {
      out.push_back(fault);
    }
  }
  return out;
}

/// Runs one cell with each of its seeds, up to the first violation.
CellResult RunSeeds(Scenario& aScenario,
                    Step aStep,
                    const std::vector<Fault>& aFaults,
                    const MatrixOptions& aOptions,
                    const std::string& aMutant)
{
  CellResult out{ aFaults.front(), aStep };
  std::set<Invariant> invariants;
  bool faultsInjected = false;
  for (int n = 0; n < aOptions.mSeeds; ++n) {
    const auto seed = aOptions.mSeed + static_cast<std::uint64_t>(n);
    const auto run = aScenario.Run({ aStep, aFaults, seed, aMutant });
    faultsInjected = faultsInjected || run.mFaultsInjected;
    invariants.insert(run.mCheckedInvariants.begin(), run.mCheckedInvariants.end());
    if (!run.mViolation.empty()) {
      out.mState = CellState::Red;
      out.mText = "seed " + std::to_string(seed) + ": " + run.mViolation;
      return out;
    }
  }
  out.mInvariants.assign(invariants.begin(), invariants.end());
  const bool proved = faultsInjected && !invariants.empty();
  out.mState = proved ? CellState::Proved : CellState::NotProved;
  out.mText = proved ? "" : "the fault was not injected at this step";
  return out;
}

CellResult RunCell(Scenario* aScenario, Step aStep, Fault aFault, const MatrixOptions& aOptions)
{
  if (aScenario == nullptr) {
    return { aFault, aStep, CellState::NotProved, "no scenario covers this step yet", {} };
  }
  auto reason = aScenario->NotApplicable(aFault, aStep);
  if (!reason.empty()) {
    return { aFault, aStep, CellState::NotApplicable, std::move(reason), {} };
  }
  return RunSeeds(*aScenario, aStep, { aFault }, aOptions, "");
}

} // namespace

std::vector<CellResult> RunMatrix(const std::vector<ScenarioPtr>& aScenarios,
                                  const MatrixOptions& aOptions)
{
  std::vector<CellResult> out;
  for (const auto step : SelectSteps(aOptions)) {
    auto* scenario = FindScenario(aScenarios, step);
    for (const auto fault : SelectFaults(aOptions)) {
      out.push_back(RunCell(scenario, step, fault, aOptions));
    }
  }
  return out;
}

std::vector<CellResult> RunPairs(const std::vector<ScenarioPtr>& aScenarios,
                                 const MatrixOptions& aOptions,
                                 std::size_t& aRuns)
{
  std::vector<CellResult> red;
  for (const auto step : SelectSteps(aOptions)) {
    auto* scenario = FindScenario(aScenarios, step);
    if (scenario == nullptr) {
      continue;
    }
    std::vector<Fault> faults;
    for (const auto it : SelectFaults({})) {
      if (scenario->NotApplicable(it, step).empty()) {
        faults.push_back(it);
      }
    }
    for (std::size_t i = 0; i < faults.size(); ++i) {
      for (std::size_t j = i + 1; j < faults.size(); ++j) {
        auto result = RunSeeds(*scenario, step, { faults[i], faults[j] }, aOptions, "");
        ++aRuns;
        if (result.mState != CellState::Red) {
          continue;
        }
        result.mText = "with " + std::string(kFaultNames[static_cast<std::size_t>(faults[j])]) +
                       ", " + result.mText;
        red.push_back(std::move(result));
      }
    }
  }
  return red;
}

std::vector<MutantResult> RunMutants(const std::vector<ScenarioPtr>& aScenarios,
                                     const MatrixOptions& aOptions)
{
  std::vector<MutantResult> out;
  for (const auto& scenario : aScenarios) {
    for (const auto& mutant : scenario->Mutants()) {
      MutantResult result{ std::string(scenario->Name()), mutant, {} };
      for (const auto step : scenario->Steps()) {
        for (const auto fault : SelectFaults({})) {
          if (!scenario->NotApplicable(fault, step).empty()) {
            continue;
          }
          auto cell = RunSeeds(*scenario, step, { fault }, aOptions, mutant);
          if (cell.mState == CellState::Red) {
            result.mDetectedBy.push_back(std::move(cell));
          }
        }
      }
      out.push_back(std::move(result));
    }
  }
  return out;
}

namespace {

std::string FaultName(Fault aFault)
{
  return std::string(kFaultNames[static_cast<std::size_t>(aFault)]);
}

void WriteTable(std::ostringstream& aOut,
                const std::vector<CellResult>& aCells,
                std::string_view aProcedure)
{
  std::vector<Step> steps;
  for (const auto& it : aCells) {
    const bool belongsToProcedure = ToString(it.mStep).starts_with(std::string(aProcedure) + ".");
    if (belongsToProcedure && std::find(steps.begin(), steps.end(), it.mStep) == steps.end()) {
      steps.push_back(it.mStep);
    }
  }
  if (steps.empty()) {
    return;
  }
  aOut << "\n### " << aProcedure << "\n\n| fault |";
  for (const auto it : steps) {
    aOut << " " << ToString(it).substr(aProcedure.size() + 1) << " |";
  }
  aOut << "\n|---|" << [&] {
    std::string out;
    for (std::size_t n = 0; n < steps.size(); ++n) {
      out += "---|";
    }
    return out;
  }() << "\n";
  for (std::size_t n = 0; n < kFaultCount; ++n) {
    aOut << "| " << kFaultNames[n] << " |";
    for (const auto step : steps) {
      const auto cell = std::find_if(aCells.begin(), aCells.end(), [&](const auto& it) {
        return it.mStep == step && it.mFault == static_cast<Fault>(n);
      });
      aOut << " " << kStateSymbols[static_cast<std::size_t>(cell->mState)] << " |";
    }
    aOut << "\n";
  }
}

void WriteInvariants(std::ostringstream& aOut, const std::vector<CellResult>& aCells)
{
  aOut << "\n## Cells that prove each invariant\n\n| invariant | proved cells | procedures |\n"
          "|---|---|---|\n";
  for (std::size_t n = 0; n < kInvariantCount; ++n) {
    std::size_t count = 0;
    std::set<std::string> procedures;
    for (const auto& it : aCells) {
      const bool isChecked =
        std::find(it.mInvariants.begin(), it.mInvariants.end(), static_cast<Invariant>(n)) !=
        it.mInvariants.end();
      if (it.mState != CellState::Proved || !isChecked) {
        continue;
      }
      ++count;
      const auto name = ToString(it.mStep);
      procedures.emplace(name.substr(0, name.find('.')));
    }
    aOut << "| " << kInvariantNames[n] << " | " << count << " |";
    for (const auto& it : procedures) {
      aOut << " " << it;
    }
    aOut << " |\n";
  }
}

/// Lists the cells of one state, grouped by their text so that each reason is printed once.
void WriteReasons(std::ostringstream& aOut, const std::vector<CellResult>& aCells, CellState aState)
{
  std::map<std::string, std::vector<std::string>> cellsByReason;
  for (const auto& it : aCells) {
    if (it.mState == aState) {
      cellsByReason[it.mText].push_back(FaultName(it.mFault) + " at " +
                                        std::string(ToString(it.mStep)));
    }
  }
  if (cellsByReason.empty()) {
    aOut << "\nNone.\n";
  }
  for (const auto& [reason, cells] : cellsByReason) {
    aOut << "\n- " << reason << " (" << cells.size() << " cells): ";
    for (std::size_t n = 0; n < cells.size(); ++n) {
      aOut << (n == 0 ? "" : "; ") << cells[n];
    }
    aOut << "\n";
  }
}

void WriteMutants(std::ostringstream& aOut, const std::vector<MutantResult>& aMutants)
{
  aOut
    << "\n## Mutants and the cells that detected them\n\n"
       "A mutant is a defect that the matrix puts into the code under test to check its cells.\n\n"
    << "| scenario | mutant | cells that turned red | first cell |\n|---|---|---|---|\n";
  for (const auto& it : aMutants) {
    aOut << "| " << it.mScenario << " | " << it.mMutant << " | " << it.mDetectedBy.size() << " | ";
    if (!it.mDetectedBy.empty()) {
      const auto& first = it.mDetectedBy.front();
      aOut << FaultName(first.mFault) << " at " << ToString(first.mStep);
    }
    aOut << " |\n";
  }
}

} // namespace

std::string FormatPage(const std::vector<CellResult>& aCells,
                       const std::vector<MutantResult>& aMutants,
                       std::string_view aProcessTests)
{
  std::ostringstream out;
  out
    << "# Fault matrix\n\n"
    << "Generated by `build/bin/gentianloom-fault-matrix --page`; CI fails if this page differs "
       "from a new run.\nEach cell is a set of deterministic runs of the production decision code "
       "with fixed seeds.\n\n✓ proved, – not applicable (reasons below), ? not proved, RED an "
       "invariant was violated.\n\n| proved | not applicable | not proved | red "
       "|\n|---|---|---|---|\n|";
  for (const auto state :
       { CellState::Proved, CellState::NotApplicable, CellState::NotProved, CellState::Red }) {
    out << " " << std::count_if(aCells.begin(), aCells.end(), [state](const auto& it) {
      return it.mState == state;
    }) << " |";
  }
  out << "\n\n## Cells\n";
  for (const auto* it :
       { "request", "grant", "transfer", "bill", "intent", "application", "order", "drain" }) {
    WriteTable(out, aCells, it);
  }
  WriteInvariants(out, aCells);
  out << "\n## Tests with real processes\n\n" << aProcessTests;
  WriteMutants(out, aMutants);
  out << "\n## Not proved\n";
  WriteReasons(out, aCells, CellState::NotProved);
  out << "\n## Red\n";
  WriteReasons(out, aCells, CellState::Red);
  out << "\n## Not applicable\n";
  WriteReasons(out, aCells, CellState::NotApplicable);
  return out.str();
}

} // namespace gentianloom::fault
