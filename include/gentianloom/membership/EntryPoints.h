#ifndef GENTIANLOOM_MEMBERSHIP_ENTRY_POINTS_H
#define GENTIANLOOM_MEMBERSHIP_ENTRY_POINTS_H

#include "gentianloom/membership/MembershipCore.h"

#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// Maximum number of addresses in one answer.
inline constexpr std::size_t kMaxEntryPoints = 3;

/// A router with at least this share of its connections in use ranks after all routers below it.
inline constexpr std::int32_t kFullLoadPermille = 900;

/**
 * @brief Chooses the routers that a caller should use (rendezvous hashing).
 *
 * Routers are ranked by a hash of the organisation's and the router's name. Every router computes
 * the same ranking, so the callers of an organisation share few routers, and a router that joins or
 * leaves moves only the organisations ranked to it. The best router of each zone comes first, in
 * the order of their ranks and with the caller's own zone in front; the answer is filled up with
 * the next routers by rank. Suspect, leaving and dead routers are never chosen; routers at
 * kFullLoadPermille or above rank last.
 *
 * @param aMembers all members, including this router
 * @param aOrganisation identifies the caller: organisation, key digest or host
 * @param aZone the caller's availability zone; empty if unknown
 * @return at most kMaxEntryPoints caller addresses, best first; empty if no router is alive
 * @par Complexity M log M for M members
 */
std::vector<std::string> ChooseEntryPoints(std::span<const wire::MemberNews> aMembers,
                                           std::string_view aOrganisation,
                                           std::string_view aZone);

} // namespace gentianloom

#endif
