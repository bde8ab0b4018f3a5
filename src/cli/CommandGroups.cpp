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
                "  apply FILE                 apply a configuration file whole\n",
                &RunApply },
  CommandGroup{ "application",
                "  application ID             what became of an apply whose answer was lost\n",
                &RunApplication },
  CommandGroup{ "history", "  history                    versions that are kept\n", &RunHistory },
  CommandGroup{ "diff",
                "  diff A B                   what differs between two versions\n",
                &RunDifference },
  CommandGroup{ "rollback",
                "  rollback N                 apply what version N stated, as a new version\n",
                &RunRollback },
  CommandGroup{ "status",
                "  status                     version in force on each instance\n"
                "  status all                 the same, asking each instance itself\n",
                &RunStatus },
  CommandGroup{ "audit", "  audit                      who changed what\n", &RunAudit },
  CommandGroup{ "budget",
                "  budget show ORGANISATION   prepaid, spent, held, in doubt and left\n"
                "  budget release ORGANISATION INCARNATION USED\n"
                "                             close the rights of a router that is gone\n",
                &RunBudget },
  CommandGroup{ "endpoints",
                "  endpoints                  what is stated and what runs on each endpoint\n",
                &RunEndpoints },
  CommandGroup{ "report",
                "  report usage               figures and usage of every budget\n"
                "  report burn [--html FILE]  burn of the error budgets of all instances\n",
                &RunReport },
  CommandGroup{ "key", "  key digest KEY             digest of a key, for files\n", &RunKey },
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
