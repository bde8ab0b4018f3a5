#include "BenchReport.h"

#include <boost/program_options.hpp>

#include <array>
#include <iostream>

namespace gentianloom::bench {

namespace {

// All suites.
constexpr std::array kSuites = {
  Suite{ "configuration",
         "apply and read at the target's size, one change",
         &RunConfigurationBench },
  Suite{ "budgets", "overspend, false refusals, stranded rights, writes", &RunBudgetsBench },
  Suite{ "deployments",
         "both users' budgets: partition, top-up inside it, crashes, retries",
         &RunDeploymentsBench },
  Suite{ "intents", "false refusals and writes of work that must not repeat", &RunIntentsBench },
  Suite{ "control", "cost for each node, spread, time to notice a death", &RunControlBench },
  Suite{ "pipeline", "latency, tokens a second and memory of one router", &RunPipelineBench },
  Suite{ "routing", "placement, admission and ejection against baselines", &RunRoutingBench },
};

Json GoalsJson(const BenchReport& aReport)
{
  Json list = Json::array();
  for (const auto& it : aReport.mGoals) {
    list.push_back({ { "name", it.mName },
                     { "goal", it.mGoal },
                     { "measured", it.mMeasured },
                     { "unit", it.mUnit },
                     { "met", it.Met() } });
  }
  return list;
}

void Print(std::string_view aName,
           const BenchOptions& aOptions,
           const BenchReport& aReport,
           bool aJson)
{
  if (aJson) {
    std::cout << Json{
      { "bench", aName },
      { "seed", aOptions.mSeed },
      { "commit", GENTIANLOOM_COMMIT },
      { "runs", aReport.mRuns },
      { "goals", GoalsJson(aReport) }
    }.dump(2) << std::endl;
    return;
  }
  for (const auto& it : aReport.mRuns) {
    std::cout << it.dump() << "\n";
  }
  for (const auto& it : aReport.mGoals) {
    std::cout << (it.Met() ? "met      " : "NOT MET  ") << it.mName << ": measured " << it.mMeasured
              << " " << it.mUnit << ", goal "
              << (it.mSide == GoalSide::AtMost ? "at most " : "at least ") << it.mGoal << "\n";
  }
}

int RunSuites(const std::string& aName, const BenchOptions& aOptions, bool aJson)
{
  bool found = false;
  for (const auto& it : kSuites) {
    if (aName != "all" && aName != it.mName) {
      continue;
    }
    found = true;
    Print(it.mName, aOptions, it.mRun(aOptions), aJson);
  }
  if (!found) {
    std::cerr << "gentianloom-bench: no bench \"" << aName << "\"\n";
    return 2;
  }
  return 0;
}

} // namespace

} // namespace gentianloom::bench

int main(int argc, char** argv)
{
  namespace po = boost::program_options;
  gentianloom::bench::BenchOptions chosen;
  std::string name;
  bool json = false;
  po::options_description options(
    "gentianloom-bench SUITE|all: measurements, one JSON object for each suite. Options");
  options.add_options()("help", "print this help")("suite", po::value(&name), "suite or all")(
    "json", po::bool_switch(&json), "print JSON")("seed", po::value(&chosen.mSeed), "seed")(
    "scale", po::value(&chosen.mScale), "length of the runs, 1 is whole");
  po::positional_options_description positional;
  positional.add("suite", 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
              values);
    po::notify(values);
    if (values.count("help") != 0 || name.empty()) {
      std::cout << options << "Suites\n";
      for (const auto& it : gentianloom::bench::kSuites) {
        std::cout << "  " << it.mName << ": " << it.mHelp << "\n";
      }
      return name.empty() && values.count("help") == 0 ? 2 : 0;
    }
    return gentianloom::bench::RunSuites(name, chosen, json);
  } catch (const po::error& ex) {
    std::cerr << "gentianloom-bench: " << ex.what() << "\n" << options;
    return 2;
  }
}
