#include "gentianloom/cli/CliContext.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Version.h"

#include <array>
#include <iostream>

namespace gentianloom::cli {

namespace {

constexpr std::array kCommandGroups = {
  CommandGroup{ "check",
                "  check FILE                 check a configuration file; show what would change\n",
                &RunCheck },
  CommandGroup{ "apply",
                "  apply FILE                 apply a complete configuration file\n",
                &RunApply },
  CommandGroup{ "application",
                "  application ID             outcome of an apply whose response was lost\n",
                &RunApplication },
  CommandGroup{ "history", "  history                    stored versions\n", &RunHistory },
  CommandGroup{ "diff",
                "  diff A B                   differences between two versions\n",
                &RunDifference },
  CommandGroup{ "rollback",
                "  rollback N                 apply the content of version N as a new version\n",
                &RunRollback },
  CommandGroup{ "status",
                "  status                     version in force on each instance\n"
                "  status all                 the same, queried from each instance itself\n",
                &RunStatus },
  CommandGroup{ "audit", "  audit                      who changed what\n", &RunAudit },
  CommandGroup{ "budget",
                "  budget show ORGANISATION   tokens prepaid, spent, held, in doubt and left\n"
                "  budget release ORGANISATION INCARNATION USED\n"
                "                             close the rights of a router that no longer runs\n",
                &RunBudget },
  CommandGroup{ "endpoints",
                "  endpoints                  configured and running model of each endpoint\n",
                &RunEndpoints },
  CommandGroup{ "report",
                "  report usage               state and usage of every budget\n"
                "  report burn [--html FILE]  error budget burn rates over all instances\n",
                &RunReport },
  CommandGroup{ "key",
                "  key digest KEY             digest of a key, for configuration files\n",
                &RunKey },
  CommandGroup{ "version", "  version                    version of this program\n", &RunVersion },
};

} // namespace

std::span<const CommandGroup> CommandGroups()
{
  return kCommandGroups;
}

int RunKey(const CliContext& /*aContext*/, Arguments aArguments)
{
  if (aArguments.size() != 3 || aArguments[1] != "digest") {
    return ExitUsage;
  }
  std::cout << KeyDigest(aArguments[2]) << "\n";
  return ExitSuccess;
}

int RunVersion(const CliContext& /*aContext*/, Arguments /*aArguments*/)
{
  std::cout << kVersion << "\n";
  return ExitSuccess;
}

} // namespace gentianloom::cli
