#include "gentianloom/configuration/AccessControl.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace gentianloom {

namespace {

constexpr std::size_t kMostNamesInRefusal = 10;

using Teams = std::set<std::string>;

/// Teams that stand behind organisations and budgets, before and after a change.
struct Ownership
{
  std::map<std::string, Teams> mOrganisations;
  std::map<std::string, Teams> mBudgets;

  void Add(const Configuration& aConfiguration)
  {
    for (const auto& it : aConfiguration.mOrganisations) {
      mOrganisations[it.mName].insert(it.mTeam);
      mBudgets[it.mBudget].insert(it.mTeam);
    }
  }
};

bool OnlyOwn(const OperatorSettings& aOperator, const Teams& aTeams)
{
  return !aTeams.empty() && std::all_of(aTeams.begin(), aTeams.end(), [&](const auto& it) {
    return MaySeeTeam(aOperator, it);
  });
}

bool IsOwn(const OperatorSettings& aOperator,
           const Ownership& aOwnership,
           const std::string& aSection,
           const std::string& aName)
{
  if (aSection != "organisations" && aSection != "budgets") {
    return false;
  }
  const auto& table = aSection == "budgets" ? aOwnership.mBudgets : aOwnership.mOrganisations;
  const auto it = table.find(aName);
  return it != table.end() && OnlyOwn(aOperator, it->second);
}

std::vector<std::string> Keep(const std::vector<std::string>& aNames,
                              const std::function<bool(const std::string&)>& aWanted)
{
  std::vector<std::string> out;
  std::copy_if(aNames.begin(), aNames.end(), std::back_inserter(out), aWanted);
  return out;
}

Error Refusal(const OperatorSettings& aOperator, std::string aText)
{
  return MakeError(
    ErrorCode::NotAllowed, Step::RequestAuthenticate, aOperator.mName, std::move(aText));
}

/// Organisations of a team must not draw on a budget that other teams use.
void AddForeignBudgets(const OperatorSettings& aOperator,
                       const Ownership& aOwnership,
                       const SectionDifference& aSection,
                       const Configuration& aAfter,
                       std::vector<std::string>& aOut)
{
  if (aSection.mSection != "organisations") {
    return;
  }
  std::set<std::string_view> touched(aSection.mAdded.begin(), aSection.mAdded.end());
  touched.insert(aSection.mChanged.begin(), aSection.mChanged.end());
  for (const auto& it : aAfter.mOrganisations) {
    if (touched.contains(it.mName) && !it.mBudget.empty() &&
        !IsOwn(aOperator, aOwnership, "budgets", it.mBudget)) {
      aOut.push_back("budgets/" + it.mBudget);
    }
  }
}

} // namespace

bool MaySeeTeam(const OperatorSettings& aOperator, const std::string& aTeam)
{
  const auto& teams = aOperator.mTeams;
  return aOperator.mRole == OperatorRole::Owner ||
         std::find(teams.begin(), teams.end(), aTeam) != teams.end();
}

std::optional<Error> CheckMayApply(const OperatorSettings& aOperator,
                                   const Configuration& aBefore,
                                   const Configuration& aAfter)
{
  if (aOperator.mRole == OperatorRole::Owner) {
    return std::nullopt;
  }
  if (aOperator.mRole == OperatorRole::Reader) {
    return Refusal(aOperator, "a reader may change nothing; ask a team or an owner");
  }
  Ownership ownership;
  ownership.Add(aBefore);
  ownership.Add(aAfter);
  std::vector<std::string> foreign;
  for (const auto& section : Compare(aBefore, aAfter).mSections) {
    for (const auto* names : { &section.mAdded, &section.mRemoved, &section.mChanged }) {
      for (const auto& it : *names) {
        if (!IsOwn(aOperator, ownership, section.mSection, it)) {
          foreign.push_back(section.mSection + "/" + it);
        }
      }
    }
    AddForeignBudgets(aOperator, ownership, section, aAfter, foreign);
  }
  if (foreign.empty()) {
    return std::nullopt;
  }
  std::string text = "the file differs in what is not your teams':";
  for (std::size_t n = 0; n < std::min(foreign.size(), kMostNamesInRefusal); ++n) {
    text += " " + foreign[n];
  }
  text += foreign.size() > kMostNamesInRefusal
            ? " and " + std::to_string(foreign.size() - kMostNamesInRefusal) + " more"
            : "";
  return Refusal(aOperator,
                 text + "; leave these as they are in force, or ask an owner to apply the file");
}

Difference FilterVisible(const OperatorSettings& aOperator,
                         const Difference& aDifference,
                         const Configuration& aBefore,
                         const Configuration& aAfter)
{
  if (aOperator.mRole == OperatorRole::Owner) {
    return aDifference;
  }
  Ownership ownership;
  ownership.Add(aBefore);
  ownership.Add(aAfter);
  Difference out;
  for (const auto& section : aDifference.mSections) {
    const auto wanted = [&](const std::string& it) {
      return IsOwn(aOperator, ownership, section.mSection, it);
    };
    SectionDifference left{ section.mSection,
                            Keep(section.mAdded, wanted),
                            Keep(section.mRemoved, wanted),
                            Keep(section.mChanged, wanted) };
    if (!left.mAdded.empty() || !left.mRemoved.empty() || !left.mChanged.empty()) {
      out.mSections.push_back(std::move(left));
    }
  }
  return out;
}

} // namespace gentianloom
