#ifndef GENTIANLOOM_TESTS_STANDIN_STANDIN_SERVER_H
#define GENTIANLOOM_TESTS_STANDIN_STANDIN_SERVER_H

#include "gentianloom/base/JsonReader.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace gentianloom::standin {

/**
 * @brief Faults that tests inject by `POST /faults` with a JSON object of numbers.
 *
 * Each request that shows a fault decrements its number, unless the key ends with `Ms` (a delay) or
 * `On` (a switch). Known keys: `refuse`, `stallOn`, `delayMs`, `loseAnswer`, `goAwayAfterTokens`,
 * `reorder`, `duplicate`, `crossEvent`, `cannotResumeOn`, `crashOnMarkOn`, `leavingOn`,
 * `holdRunOn`.
 */
class Faults
{
public:
  void Set(const Json& aValues);

  /// @brief Decrements a fault. @return whether it was positive
  bool Take(const std::string& aName);

  /// @brief Returns the value of a delay or a switch; zero if it is not set.
  std::int64_t Value(const std::string& aName) const;

  /// @brief Blocks while a switch is on.
  void WaitWhileOn(const std::string& aName);

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  Json mValues = Json::object();
};

/// One role of the stand-in program.
class Role
{
public:
  virtual ~Role() = default;

  /// @brief Handles a request other than `/faults`.
  virtual void Handle(Poco::Net::HTTPServerRequest& aRequest,
                      Poco::Net::HTTPServerResponse& aResponse) = 0;

  Faults& InjectedFaults() { return mFaults; }

protected:
  Faults mFaults;
};

/// Settings of a stand-in, from the command line.
struct StandinOptions
{
  std::string mName = "standin";
  std::string mZone;
  std::int64_t mSeed = 1;
  std::int64_t mTokenMicros = 2'000;      ///< time between tokens
  std::int64_t mFirstTokenMicros = 5'000; ///< time to the first token
  std::int64_t mSlots = 64;               ///< maximum number of concurrent streams
  std::int64_t mLagMs = 0;                ///< age of reports and lists
  bool mChecksFencing = false;
};

std::unique_ptr<Role> MakeKeyValueRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeInstanceListRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeWeightStoreRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeEngineRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeRelayRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeWorkerRole(const StandinOptions& aOptions);

/// @brief Returns the complete request body.
std::string ReadBody(Poco::Net::HTTPServerRequest& aRequest);

/// @brief Closes the connection of a request without a complete response.
void DropConnection(Poco::Net::HTTPServerRequest& aRequest);

/// @brief Sends a complete response with a JSON body.
void SendJson(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json& aBody);

} // namespace gentianloom::standin

#endif
