#ifndef GENTIANLOOM_ROUTING_ENDPOINT_ENTRY_H
#define GENTIANLOOM_ROUTING_ENDPOINT_ENTRY_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace gentianloom {

/// An endpoint's entry in the key-value service.
struct EndpointEntry
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< IP:PORT
  std::string mZone;
  std::int64_t mSlots = 0; ///< maximum number of concurrent requests; 0: not known
  /// Version of the endpoint's software; not that of its weights, nor of the configuration.
  std::string mSoftwareVersion;
  std::int64_t mSequence = 0; ///< rises with each write of the endpoint's process
  /// Wall-clock milliseconds; distinguishes processes with one id. 0: not stated
  std::int64_t mStartedAt = 0;
  bool mIsLeaving = false;
  std::optional<Millis> mWarmUpRemaining; ///< at the time of writing; nothing: not stated
  std::int64_t mLease = 0;                ///< lease of the entry's key; 0: none, or not known
};

/// Order of the entries of an endpoint: its start, then the sequence of its process.
struct EntryAge
{
  std::int64_t mStartedAt = 0;
  std::int64_t mSequence = 0;

  explicit EntryAge(const EndpointEntry& aEntry)
    : mStartedAt(aEntry.mStartedAt)
    , mSequence(aEntry.mSequence)
  {
  }
  bool operator<(const EntryAge& aOther) const
  {
    return std::tie(mStartedAt, mSequence) < std::tie(aOther.mStartedAt, aOther.mSequence);
  }
};

/// How an entry relates to the last one that is known of the same endpoint.
enum class EntryOrder : std::uint8_t
{
  Later,
  /// Written before the known one. The key-value service can execute a write seconds after it was
  /// sent, so an earlier entry may arrive last.
  Earlier,
  /// Probably written before the known one, but possibly by a process that runs; see
  /// UnconfirmedEntries.
  Unconfirmed
};

/**
 * @brief Orders an entry against the last known one of its endpoint.
 *
 * An entry with an earlier start, or an earlier sequence without a start, is unconfirmed: it is a
 * late write of an earlier process, or was written by the next one, whose clock was set back or
 * that states no start. So is one that comes back after its key was deleted, under the same lease:
 * an entry that expires loses its lease, and its endpoint writes it again under another one.
 * @param aIsDeleted whether the key of the known entry was deleted since, while the key-value
 *   service was available
 */
EntryOrder CompareEntries(const EndpointEntry& aKnown,
                          const EndpointEntry& aEntry,
                          bool aIsDeleted);

/**
 * @brief Entries with EntryOrder::Unconfirmed, until it is clear whether their process runs. No
 * clock or I/O; not thread-safe.
 *
 * A process that runs writes its entry again and again: the known process replaces a late entry,
 * and an entry that nobody writes again loses its lease. So an entry that stands for
 * kConfirmationTime is that of a process which runs.
 */
class UnconfirmedEntries
{
public:
  /// Longer than the lease of an entry, which endpoints renew every 1.2 s for 3.6 s, and than a
  /// write can take effect late (6 s).
  static constexpr Millis kConfirmationTime{ 10'000 };

  /// @brief Notes an entry; its time goes on if it is known.
  void Put(const EndpointEntry& aEntry, TimePoint aNow);

  /// @brief Forgets the entry of an endpoint, whose key was deleted or written again.
  void Remove(std::string_view aId);

  /// @brief Forgets the entries of all endpoints but some.
  void KeepOnly(const std::set<std::string, std::less<>>& aIds);

  /// @brief Returns the entries that have stood for kConfirmationTime, and forgets them.
  /// @param aConfirmedUntil time until which all changes of the key-value service were received
  std::vector<EndpointEntry> TakeConfirmed(TimePoint aConfirmedUntil);

private:
  struct Item
  {
    EndpointEntry mEntry;
    TimePoint mSince{};
  };

  std::map<std::string, Item, std::less<>> mItems; ///< by endpoint id
};

} // namespace gentianloom

#endif
