#ifndef GENTIANLOOM_TESTS_SUPPORT_FLEET_H
#define GENTIANLOOM_TESTS_SUPPORT_FLEET_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"

#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace gentianloom::testing {

/// Options of a local fleet.
struct FleetOptions
{
  int mRouters = 3;
  int mEngines = 2;
  int mTokenMicros = 1'000; ///< time that an engine takes for one token, in microseconds
  bool mRelays = false;     ///< puts `relay-key-value-N` and `relay-peers-N` before each router N
  std::string mRouterSettings; ///< JSON merged into each router's settings, or empty
};

/// One process of a fleet.
struct FleetProcess
{
  std::string mRole; ///< for example `router`, `engine` or `worker`
  std::string mName;
  pid_t mPid = 0;
  std::string mAddress;
};

/**
 * @brief A local fleet of real processes. scripts/local-fleet starts it; the destructor ends it.
 */
class Fleet
{
public:
  /// @brief Starts a fleet in a new folder; fails the test if it does not start within 60 s.
  explicit Fleet(const FleetOptions& aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// @brief Returns a process by its name, for example `router-1`, `drafting-2`, `key-value`.
  const FleetProcess& Process(const std::string& aName) const;
  /// @brief Returns all routers.
  std::vector<FleetProcess> Routers() const;

  /// @brief Sends a signal to a process of this fleet.
  void Signal(const std::string& aName, int aSignal) const;

  /// @brief Waits until a process of this fleet has exited. @return whether it did in time
  bool WaitForExit(const std::string& aName, Millis aTimeout) const;

  /// @brief Restarts a router that has exited, with its settings and at a new address.
  void Restart(const std::string& aName);

  /// @brief Applies a configuration through the first router and waits until all have it in force.
  void ApplyEverywhere(const std::string& aText) const;

  /// @brief Applies a configuration through the first router. @return its version
  int Apply(const std::string& aText) const;

  /// @brief Sets faults of a stand-in or relay, by name; 0 ends a fault.
  void SetFaults(const std::string& aName, const Json& aFaults) const;

  /// @brief Returns the journal entries of all engines and workers that can be reached.
  std::vector<Json> JournalEntries() const;

  /**
   * @brief Sends a GET request to a router's administration API.
   * @return the body, or an empty object without a response
   */
  Json GetAdmin(const std::string& aRouter, const std::string& aPath) const;

private:
  std::string mFolder;
  pid_t mScriptPid = 0;
  std::string mOperatorKey;
  std::vector<FleetProcess> mProcesses;
  std::vector<pid_t> mRestartedPids; ///< children of this process
};

/// Response to a chat request.
struct ChatResponse
{
  int mStatus = 0; ///< 0 without a response
  Json mBody;      ///< body, or the event of a stream that has the outcome
  std::string mText;
  std::string mOutcome;     ///< empty if none was received
  std::string mResumeToken; ///< value of the header Gentianloom-Resume
};

/// A chat request.
struct ChatCall
{
  std::string mKey = "culture-key";
  std::string mModel = "slides-large";
  std::string mText = "Redraft the agenda.";
  int mTokens = 16; ///< number of tokens that the engine generates
  bool mStream = true;
  std::vector<std::pair<std::string, std::string>> mHeaders{};
};

/// @brief Returns the JSON body of a chat request.
Json MakeBody(const ChatCall& aCall);

/**
 * @brief Sends a chat request and reads the response.
 * @param aOnEvent called with the data of each event of a stream; false closes the connection
 * @return what was received; a failed connection is not an error
 */
ChatResponse CallChat(const std::string& aAddress,
                      const ChatCall& aCall,
                      const std::function<bool(const std::string&)>& aOnEvent = {});

/// @brief Returns the text of examples/braga.json.
std::string ReadBragaExample();

/// @brief Polls a condition until it holds. @return whether it held in time
bool WaitFor(const std::function<bool()>& aCondition, Millis aTimeout);

} // namespace gentianloom::testing

#endif
