#ifndef GENTIANLOOM_GATEWAY_GATEWAY_SETTINGS_H
#define GENTIANLOOM_GATEWAY_GATEWAY_SETTINGS_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Settings of a gateway process. Units stand in the names of the keys in the file.
struct GatewaySettings
{
  std::string mInstance;
  std::string mZone;
  std::string mCallerAddress;    ///< where callers connect, IP:PORT
  std::string mReadinessAddress; ///< IP:PORT
  std::string mDirectoryAddress; ///< where callers ask for addresses, IP:PORT
  std::string mMetricsAddress;   ///< IP:PORT; empty: metrics are not served
  std::string mPeerAddress;      ///< for news of load between instances, IP:PORT; empty: none
  std::string mStoreAddress;     ///< key-value service, IP:PORT
  Millis mTerminationGracePeriod{
    8'000
  };                                  ///< a process that was told to stop is killed after this time
  Millis mAddressTtl{ 1'000 };        ///< how long callers keep an answer with addresses
  double mStoreWritesPerSecond = 400; ///< writes a second that the key-value service takes in all
  double mRetryShare = 0.2;           ///< retries of the whole fleet for each request
  Millis mRightsDemandWindow{ 10'000 }; ///< rights are held for so long a demand
  double mRetrySlack = 20; ///< retries of the whole fleet beyond the share, in one window
};

/// Settings as far as they could be read, and what is wrong with them.
struct ParsedGatewaySettings
{
  GatewaySettings mSettings;
  std::vector<Error> mErrors;
};

/**
 * @brief Reads settings: JSON with comments. Unknown keys are ignored, since the platform adds
 * some.
 * @param aFileName name of the file, for errors
 */
ParsedGatewaySettings ParseGatewaySettings(std::string_view aText, std::string_view aFileName);

} // namespace gentianloom

#endif
