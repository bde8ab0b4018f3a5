#ifndef GENTIANLOOM_CLI_CLI_CONTEXT_H
#define GENTIANLOOM_CLI_CLI_CONTEXT_H

#include "gentianloom/base/Error.h"
#include "gentianloom/external/HttpCall.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gentianloom::cli {

/// Exit codes of the command line; documented in docs/OPERATORS.md.
enum ExitCode : int
{
  ExitSuccess = 0,
  ExitRefused = 1,       ///< the router refused, nothing was changed
  ExitUsage = 2,         ///< wrong use, or a wrong file
  ExitUnreachable = 3,   ///< the router could not be reached
  ExitOutcomeUnknown = 4 ///< the outcome is unknown
};

/// What every command gets.
struct CliContext
{
  std::string mRouter;            ///< `IP:PORT`
  std::string mKey;               ///< operator's key
  bool mJson = false;             ///< print JSON
  std::int64_t mBaseVersion = -1; ///< version that an order builds on; -1: the one in force
  std::string mHtmlFile;          ///< file for an HTML page; empty: none
};

/// Words of a command line after the options, for example `budget show NAME`.
using Arguments = std::span<const std::string>;

/// A family of commands: its first word, its help, and what runs it.
struct CommandGroup
{
  std::string_view mName; ///< first word
  std::string_view mHelp; ///< one line for each command, indented
  int (*mRun)(const CliContext&, Arguments);
};

/// @brief Prints errors, as text or JSON.
void PrintErrors(const std::vector<Error>& aErrors, bool aJson);

/// @brief Calls the administration API.
/// @return the answer whatever its status, or ExitUnreachable after printing why
boost::outcome_v2::checked<HttpResponse, int> CallAdmin(const CliContext& aContext,
                                                        HttpRequest aRequest);

/// @brief Prints an answer of the administration API. @return the exit code that goes with it
int PrintResponse(const CliContext& aContext, const HttpResponse& aResponse);

/// @brief Calls the administration API and prints the answer.
int CallAndPrint(const CliContext& aContext, HttpRequest aRequest);

/// @brief All families of commands, in the order of the help.
std::span<const CommandGroup> CommandGroups();

// One function for each family; a file of its own each.
int RunCheck(const CliContext& aContext, Arguments aArguments);
int RunApply(const CliContext& aContext, Arguments aArguments);
int RunStatus(const CliContext& aContext, Arguments aArguments);
int RunHistory(const CliContext& aContext, Arguments aArguments);
int RunDifference(const CliContext& aContext, Arguments aArguments);
int RunRollback(const CliContext& aContext, Arguments aArguments);
int RunApplication(const CliContext& aContext, Arguments aArguments);
int RunAudit(const CliContext& aContext, Arguments aArguments);
int RunBudget(const CliContext& aContext, Arguments aArguments);
int RunEndpoints(const CliContext& aContext, Arguments aArguments);
int RunReport(const CliContext& aContext, Arguments aArguments);
int RunUsageReport(const CliContext& aContext, Arguments aArguments); ///< `report usage`
int RunKey(const CliContext& aContext, Arguments aArguments);
int RunVersion(const CliContext& aContext, Arguments aArguments);

} // namespace gentianloom::cli

#endif
