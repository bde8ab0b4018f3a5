#ifndef GENTIANLOOM_TESTS_SUPPORT_FLEET_H
#define GENTIANLOOM_TESTS_SUPPORT_FLEET_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"

#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace gentianloom::testing {

/// What a test's fleet is made of.
struct FleetOptions
{
  int mRouters = 3;
  int mEngines = 2;
  int mTokenMicros = 1'000;
  bool mRelays = false;        ///< relays `relay-key-value-N` and `relay-peers-N` before router N
  std::string mRouterSettings; ///< JSON merged into each router's settings, or empty
};

/// One process of a fleet.
struct FleetProcess
{
  std::string mRole;
  std::string mName;
  pid_t mPid = 0;
  std::string mAddress;
};

/**
 * @brief A local fleet of real processes, started by scripts/local-fleet and ended with the object.
 */
class Fleet
{
public:
  /// @brief Starts a fleet in a folder of its own; fails the test if it does not come up.
  explicit Fleet(const FleetOptions& aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// @brief Process by name, for example `router-1`, `drafting-2`, `key-value`.
  const FleetProcess& Process(const std::string& aName) const;
  std::vector<FleetProcess> Routers() const;

  /// @brief Sends a signal to a process of this fleet.
  void Signal(const std::string& aName, int aSignal) const;

  /// @brief Waits until a process of this fleet has ended.
  bool WaitForExit(const std::string& aName, Millis aTimeout) const;

  /// @brief Starts a router again that has ended, with its settings and at a new address.
  void Restart(const std::string& aName);

  /// @brief Applies a configuration file through a router, and waits until all have it in force.
  void ApplyEverywhere(const std::string& aText) const;

  /// @brief Applies a configuration file through the first router. @return its version
  int Apply(const std::string& aText) const;

  /// @brief Tells a stand-in to show faults.
  void SetFaults(const std::string& aName, const Json& aOrders) const;

  /// @brief All journal entries of all engines and workers.
  std::vector<Json> JournalEntries() const;

  /// @brief Calls a router's administration API.
  Json GetAdmin(const std::string& aRouter, const std::string& aPath) const;

private:
  std::string mFolder;
  pid_t mScriptPid = 0;
  std::string mOperatorKey;
  std::vector<FleetProcess> mProcesses;
  std::vector<pid_t> mRestartedPids; ///< children of this process
};

/// A caller's answer.
struct ChatResponse
{
  int mStatus = 0; ///< 0: no answer
  Json mBody;      ///< whole answer, or the last event of a stream that carries an outcome
  std::string mText;
  std::string mOutcome;     ///< empty: none was told
  std::string mResumeToken; ///< the header Gentianloom-Resume
};

/// A caller's chat request.
struct ChatCall
{
  std::string mKey = "culture-key";
  std::string mModel = "slides-large";
  std::string mText = "Redraft the agenda.";
  int mTokens = 16;
  bool mStream = true;
  std::vector<std::pair<std::string, std::string>> mHeaders{};
};

/**
 * @brief Makes a chat call and reads the whole answer.
 * @param aOnEvent called for each event of a stream; false makes the caller leave
 */
ChatResponse CallChat(const std::string& aAddress,
                      const ChatCall& aCall,
                      const std::function<bool(const std::string&)>& aOnEvent = {});

/// @brief Text of examples/braga.json.
std::string ReadBragaExample();

/// @brief Waits until a condition holds. @return whether it did in time
bool WaitFor(const std::function<bool()>& aCondition, Millis aTimeout);

} // namespace gentianloom::testing

#endif
