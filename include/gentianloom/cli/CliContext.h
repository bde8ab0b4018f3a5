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
  ExitRefused = 1,       ///< the router rejected the request and changed nothing
  ExitUsage = 2,         ///< wrong arguments or an invalid file
  ExitUnreachable = 3,   ///< the router could not be reached
  ExitOutcomeUnknown = 4 ///< the outcome is unknown
};

/// Options common to all commands.
struct CliContext
{
  std::string mRouter;            ///< `IP:PORT`
  std::string mKey;               ///< operator's key
  bool mJson = false;             ///< print JSON
  std::int64_t mBaseVersion = -1; ///< version that a change is based on; -1: the one in force
  std::string mHtmlFile;          ///< path of an HTML page to write; empty: none
};

/// Positional arguments of the command line, for example `budget show NAME`.
using Arguments = std::span<const std::string>;

/// Commands that share the first word, for example `budget show` and `budget release`.
struct CommandGroup
{
  std::string_view mName; ///< first word
  std::string_view mHelp; ///< help text: at least one indented line for each command
  int (*mRun)(const CliContext&, Arguments); ///< runs a command and returns an ExitCode
};

/// @brief Prints errors as text to standard error, or as JSON to standard output.
void PrintErrors(const std::vector<Error>& aErrors, bool aJson);

/// @brief Sends a request to the administration API.
/// @return the response, whatever its status, or ExitUnreachable after printing the error
boost::outcome_v2::checked<HttpResponse, int> CallAdmin(const CliContext& aContext,
                                                        HttpRequest aRequest);

/// @brief Prints a response of the administration API. @return the matching ExitCode
int PrintResponse(const CliContext& aContext, const HttpResponse& aResponse);

/// @brief Sends a request to the administration API and prints the response. @return the ExitCode
int CallAndPrint(const CliContext& aContext, HttpRequest aRequest);

/// @brief Returns all command groups, in the order of the help text.
std::span<const CommandGroup> CommandGroups();

// Each function runs the commands of one group and returns an ExitCode.
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
