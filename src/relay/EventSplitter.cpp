#include "gentianloom/relay/EventSplitter.h"

#include "gentianloom/net/HttpHead.h"

namespace gentianloom {

namespace {

std::optional<std::int64_t> ParseEventId(std::string_view aEvent)
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

/// Returns the position after the blank line that ends the first event, or npos if there is none.
std::size_t FindEndOfEvent(std::string_view aText)
{
  const auto lf = aText.find("\n\n");
  const auto crlf = aText.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 4;
}

bool HasOnlyComments(std::string_view aText)
{
  constexpr std::string_view kLineEnds = "\r\n";
  while (!aText.empty()) {
    const auto end = aText.find_first_of(kLineEnds);
    const auto line = aText.substr(0, end);
    const bool isComment = line.starts_with(':');
    if (!line.empty() && !isComment) {
      return false;
    }
    aText = end == std::string_view::npos ? std::string_view() : aText.substr(end + 1);
  }
  return true;
}

} // namespace

bool EventSplitter::EndsInsideEvent() const
{
  return !HasOnlyComments(mIncomplete);
}

std::vector<ServerSentEvent> EventSplitter::Append(std::string_view aBytes)
{
  mIncomplete.append(aBytes);
  std::vector<ServerSentEvent> out;
  std::size_t consumed = 0;
  while (true) {
    const auto rest = std::string_view(mIncomplete).substr(consumed);
    const auto end = FindEndOfEvent(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const auto event = rest.substr(0, end);
    out.push_back({ std::string(event), ParseEventId(event), HasOnlyComments(event) });
    consumed += end;
  }
  mIncomplete.erase(0, consumed);
  return out;
}

} // namespace gentianloom
