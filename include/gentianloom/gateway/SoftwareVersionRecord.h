#ifndef GENTIANLOOM_GATEWAY_SOFTWARE_VERSION_RECORD_H
#define GENTIANLOOM_GATEWAY_SOFTWARE_VERSION_RECORD_H

#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/Signal.h"
#include "gentianloom/relay/RecordedVersions.h"
#include "gentianloom/routing/SoftwareVersionHistory.h"

#include <span>
#include <string>
#include <string_view>

namespace gentianloom {

/// Key of the record.
inline constexpr std::string_view kSoftwareVersionKey = "/gentianloom/software-versions";

/// @brief Serializes the record as JSON.
std::string ToText(const SoftwareVersions& aVersions);

/// @brief Parses a stored record. @return ErrorCode::MalformedJson if the text is not a valid one
Result<SoftwareVersions> ParseSoftwareVersions(std::string_view aText);

/**
 * @brief Returns what the record should contain, given what it contains.
 *
 * A version is added as soon as it was observed, and removed once no stream of it can be resumed by
 * the history of any instance.
 */
SoftwareVersions UpdateSoftwareVersions(const SoftwareVersions& aRecorded,
                                        const SoftwareVersionHistory& aHistory,
                                        TimePoint aNow);

/**
 * @brief Keeps the recent software versions of the endpoints in the key-value service, so that a
 * process knows those that served before it started.
 *
 * All instances share one record, which is read and written only when a version appears or is no
 * longer needed.
 */
class SoftwareVersionRecord final : public RecordedVersions
{
public:
  SoftwareVersionRecord(net::Loop& aLoop,
                        AsyncStore& aStore,
                        SoftwareVersionHistory& aHistory,
                        const Clock& aClock);

  /// @brief Starts to read and update the record. Call it once.
  void Start();

  net::Task<bool> Refresh() override;

  /// @brief Whether the record has been read.
  bool HasRead() const { return mHasRead; }

private:
  /// A result of Refresh() is shared by requests that arrive within this time.
  static constexpr Millis kRefreshInterval{ 50 };
  /// Time after a failed Refresh() for which requests do not wait for another one.
  static constexpr Millis kFailedRefreshPause{ 1'000 };

  net::Task<void> Run();
  /// Reads the record and adds it to the history. @return whether the store responded
  net::Task<bool> Read();
  /// Writes the record, unless another instance has done so.
  net::Task<void> Update();
  /// Takes over what was read. @return false if the record is invalid
  bool Load(std::span<const KeyValue> aEntries);

  net::Loop& mLoop;
  AsyncStore& mStore;
  SoftwareVersionHistory& mHistory;
  const Clock& mClock;
  std::int64_t mEra = 0;  ///< of the store, when the record was last read
  Revision mRevision = 0; ///< of the record when it was last read; 0: there was none
  SoftwareVersions mRecorded;
  bool mHasRead = false;
  TimePoint mNoRefreshUntil{};
  TimePoint mRefreshedAt{}; ///< begin of the last read by Refresh() that succeeded
};

} // namespace gentianloom

#endif
