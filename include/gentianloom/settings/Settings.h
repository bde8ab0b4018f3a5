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

/// What an operator's key may do.
enum class OperatorRole
{
  Reader, ///< sees its teams' organisations
  Team,   ///< also changes its teams' organisations and budgets
  Owner   ///< sees and changes everything
};

/// An operator's key.
struct OperatorSettings
{
  std::string mName;
  std::string mKeyDigest;
  OperatorRole mRole = OperatorRole::Reader;
  std::vector<std::string> mTeams;
};

/// Another router to start from; more are found through the key-value service.
struct PeerSettings
{
  std::string mName;
  std::string mAddress;
};

/// Limits of the request pipeline.
struct ServingSettings
{
  int mMaxConnections = 2000;
  int mRingSlots = 1024;
  std::int64_t mMaxBodyBytes = 4 * 1024 * 1024;
  Millis mClientIdleTimeout{ 15'000 };
  Millis mDefaultDeadline{ 60'000 };
  Millis mConnectTimeout{ 1'000 };
  Millis mEndpointIdleTimeout{ 10'000 }; ///< a stream silent for longer is given up
};

/// How rights are drawn in advance.
struct BudgetSettings
{
  std::string mPolicy = "demand"; ///< `fixed`, `demand` or `shrinking`
  std::int64_t mFixedTokens = 50'000;
  Millis mDemandWindow{ 120'000 };
  Millis mDemandTimeConstant{ 60'000 };     ///< time constant of the demand estimate
  Millis mMinKeptTime{ 5'000 };             ///< rights for so long a demand are never given back
  Millis mChargeInterval{ 0 };              ///< what was used is written at most so late
  Millis mCommitInterval{ 1'000 };          ///< one key-value write at most each interval
  std::int64_t mFleetWritesPerSecond = 250; ///< key-value writes a second of the whole fleet
};

/// How work that must not repeat is kept from repeating.
struct IntentSettings
{
  Millis mLifetime{ 86'400'000 }; ///< a key protects for at least so long
  Millis mSendWindow{ 2'000 };    ///< a router paused longer before the send does not send
};

/// How a router leaves.
struct DrainSettings
{
  Millis mAddressLifetime{ 5'000 };
  Millis mMaxDrainTime{ 60'000 };
};

/// Everything a router reads at start.
struct Settings
{
  std::string mName;
  std::string mZone;
  std::string mListen;
  std::string mAdvertise; ///< address told to callers; empty: the listening one
  std::string mPeerListen;
  std::string mPeerAdvertise;
  std::string mReadyFile;
  std::vector<std::string> mKeyValueAddresses;
  Millis mKeyValueTimeout{ 1'000 };
  std::string mInstanceListAddress; ///< address; empty: none
  Millis mInstanceListPollInterval{ 1'000 };
  std::string mWeightStoreAddress; ///< address; empty: none
  std::vector<PeerSettings> mPeers;
  std::map<std::string, std::string> mEndpointAddresses; ///< overrides of the instance list
  Millis mMaxEndpointStatusAge{ 3'000 }; ///< news older than this is no reason to send new work
  std::vector<OperatorSettings> mOperators;
  ServingSettings mServing;
  BudgetSettings mBudget;
  IntentSettings mIntent;
  RoutingSettings mRouting;
  DrainSettings mDrain;
};

/// Settings, or everything that is wrong with them.
struct ParsedSettings
{
  Settings mSettings;
  std::vector<Error> mErrors;
};

/**
 * @brief Reads and checks settings.
 * @param aText JSON with comments
 * @param aSource file name, named in errors
 */
ParsedSettings ParseSettings(std::string_view aText, std::string_view aSource);

} // namespace gentianloom

#endif
