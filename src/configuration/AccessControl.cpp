#include "gentianloom/configuration/AccessControl.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace gentianloom {

namespace {

constexpr std::size_t kMaxNamesInError = 10;

using Teams = std::set<std::string>;

/// The teams that use each organisation and each budget, before or after a change.
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

/// Whether the operator belongs to all of these teams, and there is at least one.
bool HasAllTeams(const OperatorSettings& aOperator, const Teams& aTeams)
{
  return !aTeams.empty() && std::all_of(aTeams.begin(), aTeams.end(), [&](const auto& it) {
    return MaySeeTeam(aOperator, it);
  });
}

/// Whether an entry belongs to the operator's teams alone.
bool OwnsEntry(const OperatorSettings& aOperator,
               const Ownership& aOwnership,
               const std::string& aSection,
               const std::string& aName)
{
  if (aSection != "organisations" && aSection != "budgets") {
    return false;
  }
  const auto& table = aSection == "budgets" ? aOwnership.mBudgets : aOwnership.mOrganisations;
  const auto it = table.find(aName);
  return it != table.end() && HasAllTeams(aOperator, it->second);
}

std::vector<std::string> FilterNames(const std::vector<std::string>& aNames,
                                     const std::function<bool(const std::string&)>& aPredicate)
{
  std::vector<std::string> out;
  std::copy_if(aNames.begin(), aNames.end(), std::back_inserter(out), aPredicate);
  return out;
}

Error MakeNotAllowedError(const OperatorSettings& aOperator, std::string aText)
{
  return MakeError(
    ErrorCode::NotAllowed, Step::RequestAuthenticate, aOperator.mName, std::move(aText));
}

/// Adds the budgets of added or changed organisations that are not the operator's: a team must not
/// spend a budget that other teams use.
void AddForbiddenBudgets(const OperatorSettings& aOperator,
                         const Ownership& aOwnership,
                         const SectionDifference& aSection,
                         const Configuration& aAfter,
                         std::vector<std::string>& aOut)
{
  if (aSection.mSection != "organisations") {
    return;
  }
  std::set<std::string_view> addedOrChanged(aSection.mAdded.begin(), aSection.mAdded.end());
  addedOrChanged.insert(aSection.mChanged.begin(), aSection.mChanged.end());
  for (const auto& it : aAfter.mOrganisations) {
    if (addedOrChanged.contains(it.mName) && !it.mBudget.empty() &&
        !OwnsEntry(aOperator, aOwnership, "budgets", it.mBudget)) {
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
    return MakeNotAllowedError(
      aOperator, "a reader may not change the configuration; ask a team operator or an owner");
  }
  Ownership ownership;
  ownership.Add(aBefore);
  ownership.Add(aAfter);
  std::vector<std::string> forbidden;
  for (const auto& section : Compare(aBefore, aAfter).mSections) {
    for (const auto* names : { &section.mAdded, &section.mRemoved, &section.mChanged }) {
      for (const auto& it : *names) {
        if (!OwnsEntry(aOperator, ownership, section.mSection, it)) {
          forbidden.push_back(section.mSection + "/" + it);
        }
      }
    }
    AddForbiddenBudgets(aOperator, ownership, section, aAfter, forbidden);
  }
  if (forbidden.empty()) {
    return std::nullopt;
  }
  std::string text = "the file changes entries that do not belong to your teams:";
  for (std::size_t n = 0; n < std::min(forbidden.size(), kMaxNamesInError); ++n) {
    text += " " + forbidden[n];
  }
  text += forbidden.size() > kMaxNamesInError
            ? " and " + std::to_string(forbidden.size() - kMaxNamesInError) + " more"
            : "";
  return MakeNotAllowedError(
    aOperator,
    text + "; restore these entries as they are in force, or ask an owner to apply the file");
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
    const auto isVisible = [&](const std::string& it) {
      return OwnsEntry(aOperator, ownership, section.mSection, it);
    };
    SectionDifference visible{ section.mSection,
                               FilterNames(section.mAdded, isVisible),
                               FilterNames(section.mRemoved, isVisible),
                               FilterNames(section.mChanged, isVisible) };
    if (!visible.mAdded.empty() || !visible.mRemoved.empty() || !visible.mChanged.empty()) {
      out.mSections.push_back(std::move(visible));
    }
  }
  return out;
}

} // namespace gentianloom
