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
 * @brief Faults that a stand-in was told to show, by `POST /faults` with a JSON object of numbers.
 *
 * A positive number is used up one request at a time unless the key ends with `Ms` (a delay) or
 * `On` (a switch). Known keys: `refuse`, `stallOn`, `delayMs`, `loseAnswer`, `goAwayAfterTokens`,
 * `reorder`, `duplicate`, `crossEvent`, `cannotResumeOn`, `crashOnMarkOn`, `leavingOn`,
 * `holdRunOn`.
 */
class Faults
{
public:
  void Set(const Json& aOrders);

  /// @brief Takes one use of a fault. @return whether it was set
  bool Take(const std::string& aName);

  /// @brief Value of a fault that is not used up; zero if not set.
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

  /// @brief Handles one request; `/faults` and `/healthz` never reach it.
  virtual void Handle(Poco::Net::HTTPServerRequest& aRequest,
                      Poco::Net::HTTPServerResponse& aResponse) = 0;

  Faults& Orders() { return mFaults; }

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
  std::int64_t mSlots = 64;               ///< streams at once
  std::int64_t mLagMs = 0;                ///< how old reports and lists are
  bool mChecksFencing = false;
};

std::unique_ptr<Role> MakeKeyValueRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeInstanceListRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeWeightStoreRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeEngineRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeRelayRole(const StandinOptions& aOptions);
std::unique_ptr<Role> MakeWorkerRole(const StandinOptions& aOptions);

/// @brief Reads a whole request body.
std::string ReadAll(Poco::Net::HTTPServerRequest& aRequest);

/// @brief Closes a connection, whatever was sent on it.
void DropConnection(Poco::Net::HTTPServerRequest& aRequest);

/// @brief Sends JSON with a status.
void Answer(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json& aBody);

} // namespace gentianloom::standin

#endif
