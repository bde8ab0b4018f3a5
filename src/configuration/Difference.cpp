#include "gentianloom/configuration/Difference.h"

#include <algorithm>
#include <map>
#include <set>

namespace gentianloom {

namespace {

constexpr std::size_t kMaxNamesInSummary = 5;

bool Differs(const SectionDifference& aSection)
{
  return !aSection.mAdded.empty() || !aSection.mRemoved.empty() || !aSection.mChanged.empty();
}

template<typename T>
void CompareList(Difference& aOut,
                 std::string_view aSection,
                 const std::vector<T>& aBefore,
                 const std::vector<T>& aAfter)
{
  std::map<std::string_view, const T*> before;
  for (const auto& it : aBefore) {
    before.emplace(it.mName, &it);
  }
  SectionDifference section{ std::string(aSection) };
  for (const auto& it : aAfter) {
    const auto found = before.find(it.mName);
    if (found == before.end()) {
      section.mAdded.push_back(it.mName);
      continue;
    }
    if (!(*found->second == it)) {
      section.mChanged.push_back(it.mName);
    }
    before.erase(found);
  }
  for (const auto& it : before) {
    section.mRemoved.emplace_back(it.first);
  }
  std::sort(section.mAdded.begin(), section.mAdded.end());
  std::sort(section.mChanged.begin(), section.mChanged.end());
  if (Differs(section)) {
    aOut.mSections.push_back(std::move(section));
  }
}

/// All names in a difference, as `section/name`.
std::set<std::string> ListNames(const Difference& aDifference)
{
  std::set<std::string> out;
  for (const auto& section : aDifference.mSections) {
    for (const auto* names : { &section.mAdded, &section.mRemoved, &section.mChanged }) {
      for (const auto& it : *names) {
        out.insert(section.mSection + "/" + it);
      }
    }
  }
  return out;
}

void AppendNames(std::string& aOut, std::string_view aWord, const std::vector<std::string>& aNames)
{
  if (aNames.empty()) {
    return;
  }
  aOut += ", " + std::to_string(aNames.size()) + " " + std::string(aWord) + " (";
  const auto n = std::min(aNames.size(), kMaxNamesInSummary);
  for (std::size_t at = 0; at < n; ++at) {
    aOut += (at == 0 ? "" : " ") + aNames[at];
  }
  aOut += n < aNames.size() ? " ...)" : ")";
}

} // namespace

Difference Compare(const Configuration& aBefore, const Configuration& aAfter)
{
  Difference out;
  if (aBefore.mDeployment != aAfter.mDeployment) {
    out.mSections.push_back({ "deployment", {}, {}, { aAfter.mDeployment } });
  }
  CompareList(out, "teams", aBefore.mTeams, aAfter.mTeams);
  CompareList(out, "organisations", aBefore.mOrganisations, aAfter.mOrganisations);
  CompareList(out, "budgets", aBefore.mBudgets, aAfter.mBudgets);
  CompareList(out, "models", aBefore.mModels, aAfter.mModels);
  CompareList(out, "endpoints", aBefore.mEndpoints, aAfter.mEndpoints);
  CompareList(out, "services", aBefore.mServices, aAfter.mServices);
  if (!(aBefore.mObjectives == aAfter.mObjectives)) {
    out.mSections.push_back({ "objectives", {}, {}, { "objectives" } });
  }
  return out;
}

std::vector<std::string> FindOverlap(const Difference& aLeft, const Difference& aRight)
{
  const auto left = ListNames(aLeft);
  const auto right = ListNames(aRight);
  std::vector<std::string> out;
  std::set_intersection(
    left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(out));
  return out;
}

std::string FormatSummary(const Difference& aDifference)
{
  std::string out;
  for (const auto& it : aDifference.mSections) {
    std::string line;
    AppendNames(line, "added", it.mAdded);
    AppendNames(line, "removed", it.mRemoved);
    AppendNames(line, "changed", it.mChanged);
    out += (out.empty() ? "" : "; ") + it.mSection + ": " + line.substr(2);
  }
  return out.empty() ? "nothing differs" : out;
}

Json DifferenceToJson(const Difference& aDifference)
{
  Json out = Json::object();
  for (const auto& it : aDifference.mSections) {
    out[it.mSection] = { { "added", it.mAdded },
                         { "removed", it.mRemoved },
                         { "changed", it.mChanged } };
  }
  return out;
}

} // namespace gentianloom
