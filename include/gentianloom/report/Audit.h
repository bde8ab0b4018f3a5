#ifndef GENTIANLOOM_REPORT_AUDIT_H
#define GENTIANLOOM_REPORT_AUDIT_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/KeyValueStore.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Number of entries kept for each area; a new entry overwrites the oldest one.
inline constexpr std::int64_t kAuditSlots = 512;

/// An entry of the audit log: who changed what, and when.
struct AuditEntry
{
  Millis mWallTime{ 0 };
  std::string mOperator;
  std::string mArea;   ///< for example `configuration`
  std::string mAction; ///< for example `apply`
  std::string mText;   ///< what changed
};

/**
 * @brief Makes the write of an audit entry, for the same transaction as the change itself.
 * @param aSequence number of the change in its area; its slot is reused after kAuditSlots changes
 */
Write MakeAuditWrite(const AuditEntry& aEntry, std::int64_t aSequence);

/// @brief Reads all stored entries with one call to the store.
/// @return the entries, oldest first, or the error of the store
Result<std::vector<AuditEntry>> ReadAudit(KeyValueStore& aStore);

/// @brief Converts an entry to JSON for the administration API.
Json AuditToJson(const AuditEntry& aEntry);

} // namespace gentianloom

#endif
