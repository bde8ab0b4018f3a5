#ifndef GENTIANLOOM_REPORT_AUDIT_H
#define GENTIANLOOM_REPORT_AUDIT_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/KeyValueStore.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Entries that each area keeps; an older one is overwritten.
inline constexpr std::int64_t kAuditSlots = 512;

/// Who changed what, and when.
struct AuditEntry
{
  Millis mWallTime{ 0 };
  std::string mOperator;
  std::string mArea;   ///< for example `configuration`
  std::string mAction; ///< for example `apply`
  std::string mText;   ///< what changed
};

/**
 * @brief Makes the write of an audit entry, to be part of the transaction of the change itself.
 * @param aSequence number of the change in its area; its slot is reused after kAuditSlots changes
 */
Write MakeAuditWrite(const AuditEntry& aEntry, std::int64_t aSequence);

/// @brief Reads all kept entries, oldest first. Costs one call.
Result<std::vector<AuditEntry>> ReadAudit(KeyValueStore& aStore);

/// @brief An entry for the administration API.
Json AuditToJson(const AuditEntry& aEntry);

} // namespace gentianloom

#endif
