#include "Matrix.h"

#include "gentianloom/base/File.h"
#include "gentianloom/base/JsonReader.h"
#include "gentianloom/settings/Settings.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>

namespace gentianloom::fault {

namespace {

template<typename Names>
std::optional<std::size_t> IndexOf(const Names& aNames, const std::string& aName)
{
  const auto it = std::find(aNames.begin(), aNames.end(), aName);
  return it == aNames.end() ? std::nullopt
                            : std::optional<std::size_t>(std::distance(aNames.begin(), it));
}

Json CellToJson(const CellResult& aCell)
{
  static constexpr std::string_view kStates[] = { "proved", "not applicable", "not proved", "red" };
  return { { "fault", kFaultNames[static_cast<std::size_t>(aCell.mFault)] },
           { "step", ToString(aCell.mStep) },
           { "state", kStates[static_cast<std::size_t>(aCell.mState)] },
           { "text", aCell.mText } };
}

int PrintCells(const std::vector<CellResult>& aCells, bool aJson)
{
  Json list = Json::array();
  bool red = false;
  for (const auto& it : aCells) {
    const auto json = CellToJson(it);
    red = red || it.mState == CellState::Red;
    list.push_back(json);
    if (!aJson) {
      std::cout << json["state"].get<std::string>() << ": " << json["fault"].get<std::string>()
                << " at " << json["step"].get<std::string>() << " " << it.mText << "\n";
    }
  }
  if (aJson) {
    std::cout << list.dump(2) << "\n";
  }
  return red ? 1 : 0;
}

int PrintPairs(const std::vector<ScenarioPtr>& aScenarios,
               const MatrixOptions& aOptions,
               bool aJson)
{
  std::size_t runs = 0;
  const auto red = RunPairs(aScenarios, aOptions, runs);
  PrintCells(red, aJson);
  std::cerr << runs << " pairs, " << red.size() << " red\n";
  return red.empty() ? 0 : 1;
}

/// Returns 1 if a cell is red or not proved, or if no cell detected a mutant; otherwise 0.
int CheckResults(const std::vector<CellResult>& aCells, const std::vector<MutantResult>& aMutants)
{
  int failed = 0;
  for (const auto& it : aCells) {
    if (it.mState == CellState::Proved || it.mState == CellState::NotApplicable) {
      continue;
    }
    ++failed;
    std::cerr << CellToJson(it).dump() << "\n";
  }
  for (const auto& it : aMutants) {
    if (!it.mDetectedBy.empty()) {
      continue;
    }
    ++failed;
    std::cerr << it.mScenario << ": no cell detected the mutant \"" << it.mMutant << "\"\n";
  }
  return failed == 0 ? 0 : 1;
}

/// Returns 1 if the file differs from the generated page; otherwise 0.
int CheckPage(const std::string& aPage, const std::string& aPath)
{
  const auto committedPage = ReadFile(aPath, Step::Settings);
  if (committedPage && committedPage.value() == aPage) {
    return 0;
  }
  std::cerr << aPath << " differs from this run; regenerate it with\n"
            << "  build/bin/gentianloom-fault-matrix --page > " << aPath << "\n";
  return 1;
}

} // namespace

} // namespace gentianloom::fault

int main(int argc, char** argv)
{
  using namespace gentianloom;
  using namespace gentianloom::fault;
  namespace po = boost::program_options;
  std::string faultName;
  std::string stepName;
  std::string checkedPage;
  std::string processTests;
  MatrixOptions matrixOptions;
  po::options_description options(
    "gentianloom-fault-matrix: simulates every fault at every step. Options");
  options.add_options()("help", "print this help")("fault", po::value(&faultName), "run one fault")(
    "step", po::value(&stepName), "run one step")(
    "seed", po::value(&matrixOptions.mSeed), "seed of the first run")(
    "seeds", po::value(&matrixOptions.mSeeds), "number of runs of each cell")(
    "pairs", "run every pair of faults")("json", "print JSON")("page",
                                                               "print docs/FAULT-MATRIX.md")(
    "check", po::value(&checkedPage), "fail if this file differs from the page of the run")(
    "process-tests",
    po::value(&processTests)->default_value(GENTIANLOOM_SOURCE "/tests/process/TESTS.md"),
    "file with the list of process tests for the page");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    const auto fault = IndexOf(kFaultNames, faultName);
    const auto step = IndexOf(kStepNames, stepName);
    if ((!faultName.empty() && !fault) || (!stepName.empty() && !step)) {
      std::cerr << "gentianloom-fault-matrix: unknown fault or step\n";
      return 2;
    }
    if (fault) {
      matrixOptions.mFault = static_cast<Fault>(*fault);
    }
    if (step) {
      matrixOptions.mStep = static_cast<Step>(*step);
    }
    const auto scenarios = AllScenarios();
    if (values.count("pairs") != 0) {
      return PrintPairs(scenarios, matrixOptions, values.count("json") != 0);
    }
    if (values.count("page") != 0 || !checkedPage.empty()) {
      const auto list = ReadFile(processTests, Step::Settings);
      const auto cells = RunMatrix(scenarios, matrixOptions);
      const auto mutants = RunMutants(scenarios, matrixOptions);
      const auto page = FormatPage(cells, mutants, list ? list.value() : "None.\n");
      if (!checkedPage.empty()) {
        return CheckResults(cells, mutants) + CheckPage(page, checkedPage) == 0 ? 0 : 1;
      }
      std::cout << page;
      return 0;
    }
    return PrintCells(RunMatrix(scenarios, matrixOptions), values.count("json") != 0);
  } catch (const po::error& ex) {
    std::cerr << "gentianloom-fault-matrix: " << ex.what() << "\n" << options;
    return 2;
  }
}
