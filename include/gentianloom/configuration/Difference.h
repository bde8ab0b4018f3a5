#ifndef GENTIANLOOM_CONFIGURATION_DIFFERENCE_H
#define GENTIANLOOM_CONFIGURATION_DIFFERENCE_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/Configuration.h"

#include <string>
#include <vector>

namespace gentianloom {

/// The entries of one section that differ between two configurations: their names, sorted.
struct SectionDifference
{
  std::string mSection;
  std::vector<std::string> mAdded{};
  std::vector<std::string> mRemoved{};
  std::vector<std::string> mChanged{};
};

/// The difference between two configurations; contains only the sections that differ.
struct Difference
{
  std::vector<SectionDifference> mSections;

  bool Empty() const { return mSections.empty(); }
};

/// @brief Compares two configurations. @par Complexity n log n in the number of entries
Difference Compare(const Configuration& aBefore, const Configuration& aAfter);

/// @brief Finds the entries that appear in both differences.
/// @return their names as `section/name`, sorted
std::vector<std::string> FindOverlap(const Difference& aLeft, const Difference& aRight);

/// @brief Formats a difference as one readable line, with the first few names of each section.
std::string FormatSummary(const Difference& aDifference);

/// @brief Writes a difference with all names, for the administration API.
Json DifferenceToJson(const Difference& aDifference);

} // namespace gentianloom

#endif
