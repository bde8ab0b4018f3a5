#include "gentianloom/relay/EventSplitter.h"

#include "gentianloom/net/HttpHead.h"

namespace gentianloom {

namespace {

std::optional<std::int64_t> IdOf(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
      }
      return net::ParseNumber(line);
    }
    aEvent = end == std::string_view::npos ? std::string_view() : aEvent.substr(end + 1);
  }
  return std::nullopt;
}

/// Position after the blank line that ends the first event; npos if it is not complete.
std::size_t EndOfEvent(std::string_view aText)
{
  const auto plain = aText.find("\n\n");
  const auto crlf = aText.find("\r\n\r\n");
  if (plain == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < crlf ? plain + 2 : crlf + 4;
}

} // namespace

std::vector<ServerSentEvent> EventSplitter::Put(std::string_view aBytes)
{
  mRest.append(aBytes);
  std::vector<ServerSentEvent> out;
  std::size_t done = 0;
  while (true) {
    const auto rest = std::string_view(mRest).substr(done);
    const auto end = EndOfEvent(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const auto event = rest.substr(0, end);
    out.push_back({ std::string(event), IdOf(event) });
    done += end;
  }
  mRest.erase(0, done);
  return out;
}

} // namespace gentianloom
