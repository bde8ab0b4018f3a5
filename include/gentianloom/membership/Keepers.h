#ifndef GENTIANLOOM_MEMBERSHIP_KEEPERS_H
#define GENTIANLOOM_MEMBERSHIP_KEEPERS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Returns the instances that keep what the fleet knows of a subject: those that come first
 *        in the subject's rendezvous order, which is the same at all instances.
 *
 * When an instance joins or leaves, only the subjects that it keeps change their keepers.
 *
 * @param aSubject hash of the subject, for example of a stream or of a budget's name
 * @param aInstances addresses of the instances, in any order
 * @param aCount maximum number of keepers
 * @par Complexity n log(aCount) in the number of instances
 */
std::vector<std::string> ChooseKeepers(std::uint64_t aSubject,
                                       std::vector<std::string> aInstances,
                                       std::size_t aCount);

} // namespace gentianloom

#endif
