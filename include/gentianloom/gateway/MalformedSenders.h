#ifndef GENTIANLOOM_GATEWAY_MALFORMED_SENDERS_H
#define GENTIANLOOM_GATEWAY_MALFORMED_SENDERS_H

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/// Senders of which a datagram could not be decoded, and of which kind it was. Does no I/O.
class MalformedSenders
{
public:
  /// Most pairs of a sender and a kind that are remembered. Further ones are not logged: anybody
  /// can send datagrams from any port.
  static constexpr std::size_t kMaxEntries = 1'024;

  /// @brief Notes a datagram. @return whether to log it, as the first one of its sender and kind
  bool Add(std::string_view aSender, std::uint8_t aKind)
  {
    if (mEntries.size() >= kMaxEntries) {
      return false;
    }
    return mEntries.emplace(aSender, aKind).second;
  }

private:
  std::set<std::pair<std::string, std::uint8_t>> mEntries;
};

} // namespace gentianloom

#endif
