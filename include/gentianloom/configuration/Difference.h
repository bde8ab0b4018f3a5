#ifndef GENTIANLOOM_CONFIGURATION_DIFFERENCE_H
#define GENTIANLOOM_CONFIGURATION_DIFFERENCE_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/Configuration.h"

#include <string>
#include <vector>

namespace gentianloom {

/// What differs in one list of a configuration, by names in order.
struct SectionDifference
{
  std::string mSection;
  std::vector<std::string> mAdded{};
  std::vector<std::string> mRemoved{};
  std::vector<std::string> mChanged{};
};

/// What differs between two configurations; only sections that differ are listed.
struct Difference
{
  std::vector<SectionDifference> mSections;

  bool Empty() const { return mSections.empty(); }
};

/// @brief Compares two configurations. @par Complexity n log n in the entries
Difference Compare(const Configuration& aBefore, const Configuration& aAfter);

/// @brief Names that two differences both touch, as `section/name`.
std::vector<std::string> FindOverlap(const Difference& aLeft, const Difference& aRight);

/// @brief One line for people, with the first few names of each section.
std::string FormatSummary(const Difference& aDifference);

/// @brief All names, for the administration API.
Json DifferenceToJson(const Difference& aDifference);

} // namespace gentianloom

#endif
