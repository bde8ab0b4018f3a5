#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_DISTRIBUTION_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_DISTRIBUTION_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/configuration/ConfigurationHead.h"
#include "gentianloom/peer/Handlers.h"
#include "gentianloom/settings/Settings.h"

#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace gentianloom {

/// Routers that read a new version from the key-value service; all others ask a router.
inline constexpr std::size_t kDirectReaders = 8;

/// Where a router gets a new version from.
struct FetchPlan
{
  bool mReadsFromStore = true;
  std::string mParent; ///< address of the router to ask, if it does not read the service
  Millis mDelay{ 0 };  ///< time in which the parent should have got it
};

/**
 * @brief Places a router in the tree by which one version spreads.
 *
 * All routers order all routers by a hash of name and version; the first kDirectReaders read the
 * service, and each later one asks the router at an eighth of its rank. Routers that see different
 * members disagree on the order, which costs time but never correctness, since a router that gets
 * nothing in time reads the service itself.
 *
 * @param aSelf name of this router
 * @param aMembers other routers
 * @par Complexity n log n in the members
 */
FetchPlan PlanFetch(std::string_view aSelf,
                    std::int64_t aVersion,
                    std::span<const PeerSettings> aMembers);

/// An accepted version with its head record.
struct ConfigurationSnapshot
{
  ConfigurationHead mHead;
  AcceptedConfigurationPtr mAccepted; ///< null: none
};

/// Asks a peer for a version; see wire::PeerClient::FetchConfiguration.
using FetchFunction =
  std::function<Result<wire::ConfigurationAnswer>(const std::string& aAddress,
                                                  const wire::ConfigurationRequest& aRequest)>;

/**
 * @brief Gets a newer version from a peer, only the chunks that differ.
 * @param aHeld what this router holds
 * @param aLeast lowest version of use
 * @return the version, or ErrorCode::StaleAnswer if the peer holds none of use
 */
Result<ConfigurationSnapshot> FetchFromPeer(const FetchFunction& aCall,
                                            const std::string& aAddress,
                                            const ConfigurationSnapshot& aHeld,
                                            std::int64_t aLeast);

/**
 * @brief Answers peers that ask for the version in force. Thread-safe.
 *
 * Remembers the chunk digests of the last kRememberedVersions, so that an asker need only name its
 * version.
 */
class ConfigurationProvider
{
public:
  static constexpr std::size_t kRememberedVersions = 32;

  /// Bytes of chunks in one answer; the asker asks again for the rest.
  static constexpr std::size_t kMostAnswerBytes = 4 * 1024 * 1024;

  /// @brief Hands out this version from now on.
  void Publish(const ConfigurationSnapshot& aVersion);

  wire::ConfigurationAnswer Answer(const wire::ConfigurationRequest& aRequest) const;

private:
  using Digests = std::set<std::string, std::less<>>;

  mutable std::mutex mMutex;
  ConfigurationSnapshot mHeld;
  std::deque<std::pair<std::int64_t, std::shared_ptr<const Digests>>> mRemembered;
};

} // namespace gentianloom

#endif
