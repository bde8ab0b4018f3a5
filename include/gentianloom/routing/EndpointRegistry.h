#ifndef GENTIANLOOM_ROUTING_ENDPOINT_REGISTRY_H
#define GENTIANLOOM_ROUTING_ENDPOINT_REGISTRY_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/routing/EndpointLoad.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// What an endpoint's own entry in the key-value service states.
struct EndpointEntry
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< IP:PORT
  std::string mZone;
  std::int64_t mSlots = 0;
  std::int64_t mStartedAt = 0; ///< wall-clock milliseconds; tells two runs under one id apart
  bool mIsLeaving = false;
  Millis mColdFor{ 0 }; ///< how much longer it is slow after its start
};

/// Whether an entry may be relied on.
enum class EntryStanding : std::uint8_t
{
  Listed,  ///< the last read or event showed it
  Missing, ///< vanished around an outage of the key-value service; may come back
  Gone
};

/// One run of an endpoint, with what this process learnt of it.
struct Endpoint
{
  EndpointEntry mEntry;
  std::uint64_t mHash = 0; ///< of its name; placement and news of load need it for each request
  EntryStanding mStanding = EntryStanding::Listed;
  TimePoint mSeenAt{};       ///< last read or event that showed the entry
  TimePoint mMissingSince{}; ///< with EntryStanding::Missing
  EndpointLoad mLoad;

  /// @brief Whether new work may be sent to it.
  bool TakesWork() const { return mStanding != EntryStanding::Gone && !mEntry.mIsLeaving; }
};

/**
 * @brief The endpoints that the key-value service lists. Pure; not thread-safe.
 *
 * An entry that vanishes while the service works means that the endpoint is gone. One that vanished
 * around an outage may only have lapsed: it is kept for kReturnTime as a last choice.
 */
class EndpointRegistry
{
public:
  using Ptr = std::shared_ptr<Endpoint>;

  /// Time in which endpoints renew entries that lapsed while the key-value service was away.
  static constexpr Millis kReturnTime{ 2'000 };

  /// @brief Takes an entry that was read or written.
  void Put(EndpointEntry aEntry, TimePoint aNow);

  /// @brief Takes the removal of an entry. @param aAfterOutage whether it may only have lapsed
  void Remove(std::string_view aId, bool aAfterOutage, TimePoint aNow);

  /// @brief Takes a whole list: what it lacks is removed.
  void Replace(std::vector<EndpointEntry> aEntries, bool aAfterOutage, TimePoint aNow);

  /// @brief Learns that another endpoint has the address now.
  void OnReplaced(std::string_view aId);

  /// @brief Drops entries that stayed missing. Called often.
  void Advance(TimePoint aNow);

  /// @brief Endpoints of a service that take work; missing ones only if nothing else is listed.
  std::vector<Ptr> Usable(std::string_view aService) const;

  /// @brief All endpoints, by their name.
  const std::map<std::string, Ptr, std::less<>>& All() const { return mEndpoints; }

  std::size_t Size() const { return mEndpoints.size(); }

private:
  void Drop(std::map<std::string, Ptr, std::less<>>::iterator aEndpoint);

  std::map<std::string, Ptr, std::less<>> mEndpoints;
};

} // namespace gentianloom

#endif
