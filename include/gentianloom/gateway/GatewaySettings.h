#ifndef GENTIANLOOM_GATEWAY_GATEWAY_SETTINGS_H
#define GENTIANLOOM_GATEWAY_GATEWAY_SETTINGS_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/routing/EvenLoad.h"
#include "gentianloom/routing/WarmUp.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Settings of a gateway process. The keys in the settings file carry their unit in their name.
struct GatewaySettings
{
  std::string mInstance;
  std::string mZone;
  std::string mCallerAddress;    ///< accepts callers' connections, IP:PORT
  std::string mReadinessAddress; ///< serves readiness checks, IP:PORT
  std::string mDirectoryAddress; ///< serves instance addresses to callers, IP:PORT
  std::string mMetricsAddress;   ///< serves metrics, IP:PORT; empty: disabled
  std::string mPeerAddress;      ///< receives load of peer instances, IP:PORT; empty: disabled
  std::string mStoreAddress;     ///< key-value service, IP:PORT
  /// Time from SIGTERM until the platform kills the process.
  Millis mTerminationGracePeriod{ 8'000 };
  /// Time for which callers may cache instance addresses.
  Millis mAddressTtl{ 1'000 };
  /// Write capacity of the key-value service, shared by all its clients.
  double mStoreWritesPerSecond = 400;
  /// Retries allowed per request, over the whole fleet.
  double mRetryShare = 0.2;
  /// The budget rights that an instance holds cover its demand of this period.
  Millis mRightsDemandWindow{ 10'000 };
  /// Retries allowed per window in addition to mRetryShare, over the whole fleet.
  double mRetrySlack = 20;
  /// Bound on the requests to endpoints that warm up; unset: none.
  std::optional<WarmUpBound> mWarmUpBound;
  /// Whether the load of endpoints is evened out.
  EvenLoadMode mEvenLoad = EvenLoadMode::ByReports;
  /// Memory of the machine in MB; 0: not stated.
  double mMemoryMb = 0;
  /// Capacity of the machine's link in megabits per second; 0: not known, callers are not held
  /// back.
  double mLinkMbps = 0;
  /// File descriptors that the process may open; 0: the limit of the operating system.
  double mMaxDescriptors = 0;
  /// Region of each availability zone; empty: no zone is in a region.
  std::map<std::string, std::string, std::less<>> mRegionOfZone;
};

/// Result of parsing a settings file: the valid settings and one error for each invalid key.
struct ParsedGatewaySettings
{
  GatewaySettings mSettings;
  std::vector<Error> mErrors;
  std::vector<Error> mSkipped; ///< malformed items of tables; the rest applies
};

/**
 * @brief Parses settings from JSON with comments.
 *
 * Unknown keys are ignored, since the platform adds keys of its own. A key that is missing or
 * invalid keeps its default and adds an error.
 *
 * @param aText content of the settings file
 * @param aFileName name of the file, used in error messages
 * @return the settings, and the errors: ErrorCode::MalformedJson, ErrorCode::MissingKey,
 * ErrorCode::WrongType or ErrorCode::OutOfRange
 */
ParsedGatewaySettings ParseGatewaySettings(std::string_view aText, std::string_view aFileName);

} // namespace gentianloom

#endif
