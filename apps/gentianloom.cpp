#include "gentianloom/cli/CliContext.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace gentianloom::cli;

std::string ReadEnvironment(const char* aName)
{
  const char* it = std::getenv(aName);
  return it == nullptr ? std::string() : std::string(it);
}

void PrintHelp(std::ostream& aOut, const po::options_description& aOptions)
{
  aOut << "gentianloom: command line for operators\n\n";
  for (const auto& it : CommandGroups()) {
    aOut << it.mHelp;
  }
  aOut
    << "\nExit codes: 0 success, 1 rejected, 2 wrong usage or invalid file, 3 router unreachable, "
       "4 outcome unknown.\n\n"
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
      (aHelp ? std::cout : std::cerr) << "Usage:\n" << it.mHelp;
    }
    return code;
  }
  std::cerr << "gentianloom: missing or unknown command; see gentianloom --help\n";
  return ExitUsage;
}

} // namespace

int main(int argc, char** argv)
{
  CliContext context;
  std::vector<std::string> arguments;
  po::options_description visibleOptions("Options");
  visibleOptions.add_options()("help", "print this help")(
    "router",
    po::value(&context.mRouter)->default_value(ReadEnvironment("GENTIANLOOM_ROUTER")),
    "router as IP:PORT (or GENTIANLOOM_ROUTER)")(
    "key",
    po::value(&context.mKey)->default_value(ReadEnvironment("GENTIANLOOM_KEY"), "..."),
    "operator's key (or GENTIANLOOM_KEY)")("json", po::bool_switch(&context.mJson), "print JSON")(
    "base",
    po::value(&context.mBaseVersion),
    "apply, rollback: version that the change is based on")(
    "html", po::value(&context.mHtmlFile), "report: write an HTML page to this file");
  po::options_description options(visibleOptions);
  options.add_options()("words", po::value(&arguments), "command");
  po::positional_options_description positional;
  positional.add("words", -1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
              values);
    po::notify(values);
    const bool help = values.count("help") != 0;
    if (help && arguments.empty()) {
      PrintHelp(std::cout, visibleOptions);
      return ExitSuccess;
    }
    return RunCommand(context, arguments, help);
  } catch (const po::error& ex) {
    std::cerr << "gentianloom: " << ex.what() << "\n";
    PrintHelp(std::cerr, visibleOptions);
    return ExitUsage;
  }
}
