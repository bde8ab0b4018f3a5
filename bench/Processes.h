#ifndef GENTIANLOOM_BENCH_PROCESSES_H
#define GENTIANLOOM_BENCH_PROCESSES_H

#include "gentianloom/base/JsonReader.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace gentianloom::bench {

/// Resources that a process has used so far.
struct ProcessUse
{
  double mCpuSeconds = 0;    ///< user and system time
  double mSystemSeconds = 0; ///< system time alone
  double mResidentMegabytes = 0;
};

/// A process started by a bench.
struct BenchProcess
{
  std::string mName;
  pid_t mPid = 0;
  std::string mAddress;     ///< `IP:PORT`
  std::string mPeerAddress; ///< routers only

  /// @brief Reads processor time and memory from the system.
  ProcessUse Use() const;
};

/**
 * @brief Real processes on loopback for one bench run; the destructor ends them.
 */
class Processes
{
public:
  Processes();
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// @brief Starts a stand-in and waits until it serves. @throws std::runtime_error if it does not
  const BenchProcess& StartStandin(const std::string& aRole,
                                   const std::string& aName,
                                   const std::vector<std::string>& aArguments);

  /// @brief Starts a router with settings and waits until it serves.
  const BenchProcess& StartRouter(const std::string& aName, Json aSettings);

  /// @brief Sends a signal to a process of this object.
  void Signal(const std::string& aName, int aSignal);

  const BenchProcess& Of(const std::string& aName) const;

private:
  const BenchProcess& Start(const std::string& aName, const std::vector<std::string>& aCommand);

  std::string mFolder;
  std::vector<BenchProcess> mProcesses;
};

/// Operator key that the routers of a bench accept, and its entry in the settings.
inline constexpr std::string_view kOperatorKey = "operator-key";
Json OperatorSettingsJson();

/// @brief Applies a configuration through a router. @throws std::runtime_error if it is refused
void ApplyConfiguration(const std::string& aRouter, const std::string& aText);

/// @brief Returns a quantile of samples; 0 if there are none. @param aQuantile 0 to 1
double Quantile(std::vector<double> aSamples, double aQuantile);

} // namespace gentianloom::bench

#endif
