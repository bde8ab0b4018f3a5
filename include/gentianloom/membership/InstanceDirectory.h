#ifndef GENTIANLOOM_MEMBERSHIP_INSTANCE_DIRECTORY_H
#define GENTIANLOOM_MEMBERSHIP_INSTANCE_DIRECTORY_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"
#include "gentianloom/external/KeyValueStore.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

struct RegionPreference;

/// What an instance publishes about itself under a leased key.
struct InstanceRecord
{
  std::string mName;
  std::string mIncarnation;
  std::string mZone;
  std::string mAddress;     ///< address for callers, IP:PORT
  std::string mPeerAddress; ///< where other instances send load reports, IP:PORT; empty if none
  bool mIsLeaving = false;

  bool operator==(const InstanceRecord&) const = default;
};

/// Prefix of the keys of instance records.
inline constexpr std::string_view kInstancePrefix = "/gentianloom/instances/";

/// @brief Serializes a record as JSON for the key-value service.
std::string ToText(const InstanceRecord& aRecord);

/// @brief Parses a stored record.
/// @return the record, or ErrorCode::MalformedJson if the text is not a valid one
Result<InstanceRecord> ParseInstanceRecord(std::string_view aText);

/// @brief Reads an entry under kInstancePrefix.
/// @return the record, or ErrorCode::MalformedJson if it cannot be parsed, is stored under another
///   key than that of its name, or has an address that is not written as IP:PORT; the address for
///   peers may be empty
Result<InstanceRecord> ParseInstanceEntry(const KeyValue& aEntry);

/**
 * @brief The instances that callers may use, as known from their leased keys. Does no I/O.
 *
 * A deleted key normally means that its instance has stopped. After an outage of the key-value
 * service it may only mean that the lease expired during the outage, so the instance is kept for
 * kReregistrationGrace.
 */
class InstanceDirectory
{
public:
  /// Time for instances to write their keys again after an outage.
  static constexpr Millis kReregistrationGrace{ 2'500 };
  /// Maximum number of addresses in one answer.
  static constexpr std::size_t kMaxAddresses = 64;

  /// @brief Adds or updates an instance.
  void Put(InstanceRecord aRecord);

  /// @brief Removes an instance whose key was deleted.
  /// @param aAfterOutage whether an outage may have deleted the key; the instance is then kept for
  ///   kReregistrationGrace
  void Remove(std::string_view aName, bool aAfterOutage, TimePoint aNow);

  /// @brief Replaces the contents by a complete list; missing instances are removed as by Remove().
  void Replace(std::vector<InstanceRecord> aRecords, bool aAfterOutage, TimePoint aNow);

  /// @brief Removes the instances whose kReregistrationGrace has ended. O(number of instances).
  void RemoveExpired(TimePoint aNow);

  /**
   * @brief Returns the caller addresses of instances that are not leaving.
   *
   * Which of them are returned is decided by RegionPreference::Choose(). If they are more than
   * kMaxAddresses, each caller gets its own part of them, the same from every instance.
   *
   * @param aSelf this instance's own record, which is included even if its key is not stored
   * @param aCaller what tells callers apart, for example their IP addresses
   * @return at most kMaxAddresses addresses
   */
  std::vector<std::string> SelectAddresses(const InstanceRecord& aSelf,
                                           std::string_view aZone,
                                           std::string_view aCaller,
                                           TimePoint aNow,
                                           const RegionPreference& aRegions) const;

  /// @brief As above, for a fleet in one region.
  std::vector<std::string> SelectAddresses(const InstanceRecord& aSelf,
                                           std::string_view aZone,
                                           std::string_view aCaller,
                                           TimePoint aNow) const;

  /// @brief Returns the addresses at which the other instances accept load reports.
  std::vector<std::string> PeerAddresses(std::string_view aSelf) const;

  /// @brief As PeerAddresses(), without the instances that are leaving or have expired.
  /// @param aZone only instances of this availability zone; empty: of all
  std::vector<std::string> ServingPeerAddresses(std::string_view aSelf,
                                                TimePoint aNow,
                                                std::string_view aZone = {}) const;

  /// @brief Returns the record of an instance; nullptr if it is not known.
  const InstanceRecord* Find(std::string_view aName) const;

  /// @brief Whether an IP address is that of a known instance.
  bool HasHost(std::string_view aHost) const;

  /// @brief Returns the number of known instances, including this one.
  std::size_t Size(std::string_view aSelf) const;

private:
  struct Entry
  {
    InstanceRecord mRecord;
    TimePoint mExpiresAt = TimePoint::max(); ///< when an instance without key is no longer returned
  };

  std::map<std::string, Entry, std::less<>> mEntries;
};

} // namespace gentianloom

#endif
