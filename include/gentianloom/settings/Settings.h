#ifndef GENTIANLOOM_SETTINGS_SETTINGS_H
#define GENTIANLOOM_SETTINGS_SETTINGS_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/routing/RoutingSettings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// The permissions of an operator.
enum class OperatorRole
{
  Reader, ///< may see the organisations of its teams
  Team,   ///< may also change the organisations and budgets of its teams
  Owner   ///< may see and change everything
};

/// An operator, authenticated by a key.
struct OperatorSettings
{
  std::string mName;
  std::string mKeyDigest;
  OperatorRole mRole = OperatorRole::Reader;
  std::vector<std::string> mTeams;
};

/// Another router. Configured peers bootstrap the membership; the rest are discovered through the
/// key-value service.
struct PeerSettings
{
  std::string mName;
  std::string mAddress;
};

/// Limits of the request pipeline.
struct ServingSettings
{
  int mMaxConnections = 2000;
  int mRingSlots = 1024; ///< queue capacity of each pipeline stage
  std::int64_t mMaxBodyBytes = 4 * 1024 * 1024;
  Millis mClientIdleTimeout{ 15'000 };
  Millis mDefaultDeadline{ 60'000 };
  Millis mConnectTimeout{ 1'000 };
  Millis mEndpointIdleTimeout{ 10'000 }; ///< a stream without data for longer is aborted
};

/// How a router reserves spending rights of a budget in advance.
struct BudgetSettings
{
  std::string mPolicy = "demand"; ///< `fixed`, `demand` or `shrinking`
  std::int64_t mFixedTokens = 50'000;
  Millis mDemandWindow{ 120'000 };
  Millis mDemandTimeConstant{ 60'000 }; ///< of the demand estimate's moving average
  Millis mMinKeptTime{ 5'000 };         ///< rights for the demand of this time are never returned
  Millis mChargeInterval{ 0 };          ///< maximum delay until usage is written
  Millis mCommitInterval{ 1'000 };      ///< minimum time between key-value writes
  std::int64_t mFleetWritesPerSecond = 250; ///< limit for all routers together
};

/// How requests with an idempotency key are protected from being executed twice.
struct IntentSettings
{
  Millis mLifetime{ 86'400'000 }; ///< minimum time for which a key is remembered
  Millis mSendWindow{ 2'000 };    ///< a router that was paused for longer does not send the request
};

/// How a router shuts down.
struct DrainSettings
{
  Millis mAddressLifetime{ 5'000 }; ///< time for which callers may use a cached router address
  Millis mMaxDrainTime{ 60'000 };   ///< time that open requests then get to finish
};

/// The settings that a router reads at start.
struct Settings
{
  std::string mName;
  std::string mZone;
  std::string mListen;
  std::string mAdvertise; ///< address announced to callers; empty: the listening address
  std::string mPeerListen;
  std::string mPeerAdvertise;
  std::string mReadyFile;
  std::vector<std::string> mKeyValueAddresses;
  Millis mKeyValueTimeout{ 1'000 };
  std::string mInstanceListAddress; ///< empty: none
  Millis mInstanceListPollInterval{ 1'000 };
  std::string mWeightStoreAddress; ///< empty: none
  std::vector<PeerSettings> mPeers;
  std::map<std::string, std::string> mEndpointAddresses; ///< override the instance list
  Millis mMaxEndpointStatusAge{ 3'000 }; ///< endpoints with an older status get no new requests
  std::vector<OperatorSettings> mOperators;
  ServingSettings mServing;
  BudgetSettings mBudget;
  IntentSettings mIntent;
  RoutingSettings mRouting;
  DrainSettings mDrain;
};

/// Parsed settings, and all errors of the file.
struct ParsedSettings
{
  Settings mSettings;
  std::vector<Error> mErrors; ///< empty if the settings are valid
};

/**
 * @brief Parses and validates settings.
 * @param aText JSON with comments
 * @param aSource file name, for error messages
 * @return the settings and their errors; valid only if there are no errors
 */
ParsedSettings ParseSettings(std::string_view aText, std::string_view aSource);

} // namespace gentianloom

#endif
