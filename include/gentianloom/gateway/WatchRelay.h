#ifndef GENTIANLOOM_GATEWAY_WATCH_RELAY_H
#define GENTIANLOOM_GATEWAY_WATCH_RELAY_H

#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/gateway/PeerSocket.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// What an instance that watches a prefix of the key-value service tells the others.
struct PrefixUpdate
{
  std::string mPrefix;
  std::int64_t mEra = 0;  ///< of the service, see AsyncStore::Era()
  Revision mAfter = 0;    ///< all changes of the prefix after this revision ...
  Revision mRevision = 0; ///< ... and up to this one are in mEvents
  Millis mAge{ 0 };       ///< time since the service stated this; the receiver adds its queue time
  bool mIsAfterOutage = false; ///< deleted keys may belong to leases that expired in an outage
  std::vector<WatchEvent> mEvents;
  std::string mSender{}; ///< address, set by the receiver
};

/// @brief Encodes an update as MessagePack.
std::string EncodePrefixUpdate(const PrefixUpdate& aUpdate);

/// @brief Decodes a datagram. @return ErrorCode::MalformedRequest if it is not a valid update
Result<PrefixUpdate> DecodePrefixUpdate(std::string_view aBytes);

/**
 * @brief Splits an update so that each part fits into a datagram. No I/O.
 *
 * The parts follow each other without a gap. Changes that fit into no datagram, or are more than
 * kMaxDatagrams hold, are left out: what remains is one update without events, from which the
 * receivers see that they have to ask the service.
 */
std::vector<PrefixUpdate> SplitPrefixUpdate(const PrefixUpdate& aUpdate);

/**
 * @brief Lets a few instances of each availability zone watch the key-value service for all of
 * them.
 *
 * Load pattern: hundreds of instances that each wait for changes of the same keys. The calls of
 * the watches are most of the load of the service, and a change wakes all of them at once. The
 * kWatchers that come first in a rendezvous order of the zone's instances watch and send what they
 * learn to the others, which ask the service themselves only if they missed a change or have heard
 * nothing for the time that their own watch would wait. The traffic stays within the zone and
 * grows with the zone's instances.
 */
class WatchRelay
{
public:
  /// Instances of an availability zone that watch the service.
  static constexpr std::size_t kWatchers = 3;
  /// Most datagrams for the changes of one watch.
  static constexpr std::size_t kMaxDatagrams = 16;

  using Handler = std::function<void(const PrefixUpdate&)>;

  /**
   * @param aSelf address of this instance, the same that its peers know
   * @param aZonePeers returns the addresses of the other serving instances in the zone
   */
  WatchRelay(PeerSocket& aSocket,
             std::string aSelf,
             std::function<std::vector<std::string>()> aZonePeers,
             const Clock& aClock,
             Metrics& aMetrics);

  /// @brief Starts to handle messages. Call it once.
  void Start();

  /// @brief Sets what is called with the updates of a prefix.
  void Subscribe(const std::string& aPrefix, Handler aHandler);

  /// @brief Whether this instance watches the service for its zone.
  bool IsWatcher();

  /// @brief Whether other instances use what this one learns.
  bool HasFollowers();

  /// @brief Sends an update to the other instances of the zone.
  void Publish(const PrefixUpdate& aUpdate);

private:
  /// Determines the zone's instances again after a while.
  void RefreshPeers();
  void OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender);

  PeerSocket& mSocket;
  std::string mSelf;
  std::function<std::vector<std::string>()> mZonePeers;
  const Clock& mClock;
  Metrics& mMetrics;
  std::map<std::string, Handler, std::less<>> mHandlers; ///< by prefix
  std::vector<std::string> mPeers;                       ///< of the zone
  bool mIsWatcher = true;
  TimePoint mPeersReadAt{};
};

} // namespace gentianloom

#endif
