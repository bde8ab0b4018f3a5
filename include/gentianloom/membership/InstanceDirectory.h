#ifndef GENTIANLOOM_MEMBERSHIP_INSTANCE_DIRECTORY_H
#define GENTIANLOOM_MEMBERSHIP_INSTANCE_DIRECTORY_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// What an instance states of itself in its leased key.
struct InstanceRecord
{
  std::string mName;
  std::string mIncarnation;
  std::string mZone;
  std::string mAddress;     ///< where callers connect, IP:PORT
  std::string mPeerAddress; ///< where other instances send news of load, IP:PORT; empty: nowhere
  bool mIsLeaving = false;

  bool operator==(const InstanceRecord&) const = default;
};

/// Start of the keys of all instances.
inline constexpr std::string_view kInstancePrefix = "/gentianloom/instances/";

/// @brief Writes a record for storing.
std::string ToText(const InstanceRecord& aRecord);

/// @brief Reads a stored record. @return ErrorCode::MalformedJson if it is none
Result<InstanceRecord> ParseInstanceRecord(std::string_view aText);

/**
 * @brief The instances that callers may be sent to, from their leased keys. Pure.
 *
 * A key that vanishes means that its instance is gone, except around an outage of the key-value
 * service, in which leases lapse: then it is kept for kReturnTime.
 */
class InstanceDirectory
{
public:
  /// Time in which instances write their keys again after an outage.
  static constexpr Millis kReturnTime{ 2'500 };
  /// Most addresses in one answer.
  static constexpr std::size_t kMostOffered = 64;

  void Put(InstanceRecord aRecord);
  void Remove(std::string_view aName, bool aAfterOutage, TimePoint aNow);
  void Replace(std::vector<InstanceRecord> aRecords, bool aAfterOutage, TimePoint aNow);

  /**
   * @brief Addresses for a caller, those of its own availability zone if it has enough of them.
   * @param aSelf this instance's own record, which needs no key
   */
  std::vector<std::string> SelectAddresses(const InstanceRecord& aSelf,
                                           std::string_view aZone,
                                           TimePoint aNow) const;

  /// @brief Addresses for news of load of all other instances.
  std::vector<std::string> PeerAddresses(std::string_view aSelf) const;

  /// @brief Instances known, this one included.
  std::size_t Size(std::string_view aSelf) const;

private:
  struct Entry
  {
    InstanceRecord mRecord;
    TimePoint mMissingUntil = TimePoint::max(); ///< when a vanished key counts as gone
  };

  std::map<std::string, Entry, std::less<>> mEntries;
};

} // namespace gentianloom

#endif
