#include "gentianloom/external/KeyValueStore.h"

#include <algorithm>

namespace gentianloom {

const KeyValue* FindEntry(std::span<const KeyValue> aEntries, std::string_view aKey)
{
  const auto it = std::find_if(
    aEntries.begin(), aEntries.end(), [&](const KeyValue& aEntry) { return aEntry.mKey == aKey; });
  return it == aEntries.end() ? nullptr : &*it;
}

} // namespace gentianloom
