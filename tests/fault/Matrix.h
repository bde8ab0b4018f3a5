#ifndef GENTIANLOOM_TESTS_FAULT_MATRIX_H
#define GENTIANLOOM_TESTS_FAULT_MATRIX_H

#include "Scenario.h"

#include <map>
#include <optional>
#include <utility>

namespace gentianloom::fault {

/// Result of a cell.
enum class CellState
{
  Proved,
  NotApplicable,
  NotProved, ///< no scenario covers the step, or the fault was not injected
  Red        ///< an invariant was violated
};

/// One cell of the matrix after its runs.
struct CellResult
{
  Fault mFault = Fault::RouterKilled;
  Step mStep = Step::RequestAccept;
  CellState mState = CellState::NotProved;
  std::string mText; ///< why the cell is not applicable or not proved, or the violation
  std::vector<Invariant> mInvariants; ///< invariants that were checked
};

/// A mutant and the cells that detected it.
struct MutantResult
{
  std::string mScenario;
  std::string mMutant;
  std::vector<CellResult> mDetectedBy;
};

/// Cells to run, and their seeds.
struct MatrixOptions
{
  std::optional<Fault> mFault; ///< all faults if empty
  std::optional<Step> mStep;   ///< all steps if empty
  std::uint64_t mSeed = 1;     ///< seed of the first run of each cell
  int mSeeds = 8;              ///< number of runs of each cell, with consecutive seeds
};

/// @brief Runs the selected cells. Cells of a step without a scenario are returned as not proved.
std::vector<CellResult> RunMatrix(const std::vector<ScenarioPtr>& aScenarios,
                                  const MatrixOptions& aOptions);

/**
 * @brief Runs every pair of applicable faults at each selected step.
 * @param aRuns is increased by the number of pairs
 * @return the pairs that violated an invariant; mFault is the first fault, mText names the second
 */
std::vector<CellResult> RunPairs(const std::vector<ScenarioPtr>& aScenarios,
                                 const MatrixOptions& aOptions,
                                 std::size_t& aRuns);

/// @brief Runs all applicable cells with each mutant, and returns the cells that detected it.
std::vector<MutantResult> RunMutants(const std::vector<ScenarioPtr>& aScenarios,
                                     const MatrixOptions& aOptions);

/**
 * @brief Returns the text of docs/FAULT-MATRIX.md.
 * @param aProcessTests Markdown list of the tests with real processes
 */
std::string FormatPage(const std::vector<CellResult>& aCells,
                       const std::vector<MutantResult>& aMutants,
                       std::string_view aProcessTests);

} // namespace gentianloom::fault

#endif
