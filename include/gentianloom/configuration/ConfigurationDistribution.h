#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_DISTRIBUTION_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_DISTRIBUTION_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/configuration/ConfigurationHead.h"
#include "gentianloom/peer/PeerHandlers.h"
#include "gentianloom/settings/Settings.h"

#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace gentianloom {

/// Number of routers that read a new version from the key-value service; the others ask a router.
/// This bounds the load on the service.
inline constexpr std::size_t kDirectReaders = 8;

/// How a router fetches a new version.
struct FetchPlan
{
  bool mReadsFromStore = true;
  std::string mParent; ///< address of the router to ask, if not mReadsFromStore
  Millis mDelay{ 0 };  ///< time in which the parent should have fetched the version
};

/**
 * @brief Places a router in the tree through which one version is distributed.
 *
 * Every router ranks all routers by a hash of name and version. The first kDirectReaders read the
 * key-value service, and each later one asks the router at an eighth of its own rank. Routers with
 * different views of the membership disagree on the ranks, which costs time but not correctness: a
 * router whose parent does not deliver in time reads the service itself.
 *
 * @param aSelf name of this router
 * @param aMembers the other routers; may contain this one
 * @par Complexity n log n in the number of members
 */
FetchPlan PlanFetch(std::string_view aSelf,
                    std::int64_t aVersion,
                    std::span<const PeerSettings> aMembers);

/// An accepted version together with its head record.
struct ConfigurationSnapshot
{
  ConfigurationHead mHead;
  AcceptedConfigurationPtr mAccepted; ///< null: none
};

/// Requests a version from a peer; see wire::PeerClient::FetchConfiguration.
using FetchFunction =
  std::function<Result<wire::ConfigurationAnswer>(const std::string& aAddress,
                                                  const wire::ConfigurationRequest& aRequest)>;

/**
 * @brief Fetches a newer version from a peer, transferring only the chunks that differ.
 * @param aCurrent the version of this router, whose chunks are reused
 * @param aMinVersion lowest version to accept
 * @return the version, or ErrorCode::StaleAnswer if the peer has an older version or sends
 *         incomplete chunks
 */
Result<ConfigurationSnapshot> FetchFromPeer(const FetchFunction& aCall,
                                            const std::string& aAddress,
                                            const ConfigurationSnapshot& aCurrent,
                                            std::int64_t aMinVersion);

/**
 * @brief Serves the version in force to peers. Thread-safe.
 *
 * Remembers the chunk digests of the last kRememberedVersions versions, so that a peer with one of
 * them sends only its version number instead of a list of its chunks.
 */
class ConfigurationProvider
{
public:
  static constexpr std::size_t kRememberedVersions = 32;

  /// Maximum size of the chunks in one answer; the peer requests the rest in further calls.
  static constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;

  /// @brief Serves this version from now on.
  void Publish(const ConfigurationSnapshot& aSnapshot);

  /// @brief Answers a peer's request.
  /// @return the head record in force, and the chunks that the peer lacks, if its version is older
  wire::ConfigurationAnswer Answer(const wire::ConfigurationRequest& aRequest) const;

private:
  using Digests = std::set<std::string, std::less<>>;

  mutable std::mutex mMutex;
  ConfigurationSnapshot mSnapshot;

  /// The digests of the last versions, oldest first.
  std::deque<std::pair<std::int64_t, std::shared_ptr<const Digests>>> mRememberedDigests;
};

} // namespace gentianloom

#endif
