#include "gentianloom/cli/CliContext.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace gentianloom::cli;

std::string Environment(const char* aName)
{
  const char* it = std::getenv(aName);
  return it == nullptr ? std::string() : std::string(it);
}

void PrintHelp(std::ostream& aOut, const po::options_description& aOptions)
{
  aOut << "gentianloom: the operators' command line\n\n";
  for (const auto& it : CommandGroups()) {
    aOut << it.mHelp;
  }
  aOut << "\nExit codes: 0 done, 1 refused, 2 wrong use or file, 3 not reachable, 4 unknown.\n\n"
       << aOptions;
}

int RunCommand(const CliContext& aContext, Arguments aArguments, bool aHelp)
{
  for (const auto& it : CommandGroups()) {
    if (aArguments.empty() || it.mName != aArguments[0]) {
      continue;
    }
    const int code = aHelp ? static_cast<int>(ExitSuccess) : it.mRun(aContext, aArguments);
    if (aHelp || code == ExitUsage) {
      (aHelp ? std::cout : std::cerr) << "Use:\n" << it.mHelp;
    }
    return code;
  }
  std::cerr << "gentianloom: the command is missing or not known; see gentianloom --help\n";
  return ExitUsage;
}

} // namespace

int main(int argc, char** argv)
{
  CliContext context;
  std::vector<std::string> words;
  po::options_description shown("Options");
  shown.add_options()("help", "print this help")(
    "router",
    po::value(&context.mRouter)->default_value(Environment("GENTIANLOOM_ROUTER")),
    "router as IP:PORT (or GENTIANLOOM_ROUTER)")(
    "key",
    po::value(&context.mKey)->default_value(Environment("GENTIANLOOM_KEY"), "..."),
    "operator's key (or GENTIANLOOM_KEY)")("json", po::bool_switch(&context.mJson), "print JSON")(
    "base", po::value(&context.mBaseVersion), "apply, rollback: version that the order builds on")(
    "html", po::value(&context.mHtmlFile), "report: write an HTML page to this file");
  po::options_description options(shown);
  options.add_options()("words", po::value(&words), "command");
  po::positional_options_description positional;
  positional.add("words", -1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
              values);
    po::notify(values);
    const bool help = values.count("help") != 0;
    if (help && words.empty()) {
      PrintHelp(std::cout, shown);
      return ExitSuccess;
    }
    return RunCommand(context, words, help);
  } catch (const po::error& ex) {
    std::cerr << "gentianloom: " << ex.what() << "\n";
    PrintHelp(std::cerr, shown);
    return ExitUsage;
  }
}
