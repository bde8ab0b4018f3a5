#include "gentianloom/net/HttpHead.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace gentianloom::net {

namespace {

constexpr std::array<std::string_view, 8> kHopByHopHeaders = {
  "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authorization",
  "TE",         "Trailer",    "Transfer-Encoding", "Upgrade"
};

char ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

std::string_view Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

std::vector<std::string> SplitTokens(std::string_view aValue)
{
  std::vector<std::string> out;
  while (!aValue.empty()) {
    const auto comma = aValue.find(',');
    const auto token = Trim(aValue.substr(0, comma));
    if (!token.empty()) {
      out.emplace_back(token);
    }
    aValue = comma == std::string_view::npos ? std::string_view() : aValue.substr(comma + 1);
  }
  return out;
}

void AppendHeaders(std::string& aOut, const HeaderList& aHeaders)
{
  for (const auto& [name, value] : aHeaders.Lines()) {
    if (EqualsIgnoreCase(name, "Content-Length") || EqualsIgnoreCase(name, "Transfer-Encoding")) {
      continue;
    }
    aOut.append(name).append(": ").append(value).append("\r\n");
  }
}

} // namespace

std::string_view ToString(Framing aFraming)
{
  switch (aFraming) {
    case Framing::None:
      return "none";
    case Framing::Length:
      return "length";
    case Framing::Chunked:
      return "chunked";
    case Framing::UntilClose:
      return "until-close";
  }
  return "unknown";
}

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aLeftChar, char aRightChar) {
      return ToLower(aLeftChar) == ToLower(aRightChar);
    });
}

std::string_view MediaType(const HeaderList& aHeaders)
{
  const auto value = aHeaders.Find("Content-Type").value_or(std::string_view());
  return value.substr(0, value.find_first_of("; \t"));
}

std::optional<std::int64_t> ParseNumber(std::string_view aText)
{
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  if (ec != std::errc() || end != aText.data() + aText.size() || aText.empty()) {
    return std::nullopt;
  }
  return n;
}

std::optional<std::string_view> HeaderList::Find(std::string_view aName) const
{
  for (const auto& [name, value] : mLines) {
    if (EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

std::size_t HeaderList::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(std::count_if(mLines.begin(), mLines.end(), [&](const Line& it) {
    return EqualsIgnoreCase(it.first, aName);
  }));
}

bool HeaderList::HasToken(std::string_view aName, std::string_view aToken) const
{
  for (const auto& [name, value] : mLines) {
    if (!EqualsIgnoreCase(name, aName)) {
      continue;
    }
    const auto tokens = SplitTokens(value);
    if (std::any_of(tokens.begin(), tokens.end(), [&](const std::string& it) {
          return EqualsIgnoreCase(it, aToken);
        })) {
      return true;
    }
  }
  return false;
}

void HeaderList::Add(std::string aName, std::string aValue)
{
  mLines.emplace_back(std::move(aName), std::move(aValue));
}

std::size_t HeaderList::HeldBytes() const
{
  std::size_t out = mLines.capacity() * sizeof(Line);
  for (const auto& [name, value] : mLines) {
    out += name.size() + value.size();
  }
  return out;
}

void HeaderList::Remove(std::string_view aName)
{
  std::erase_if(mLines, [&](const Line& it) { return EqualsIgnoreCase(it.first, aName); });
}

void HeaderList::RemoveHopByHop()
{
  std::vector<std::string> connectionHeaders;
  for (const auto& [name, value] : mLines) {
    if (EqualsIgnoreCase(name, "Connection")) {
      const auto tokens = SplitTokens(value);
      connectionHeaders.insert(connectionHeaders.end(), tokens.begin(), tokens.end());
    }
  }
  for (const auto& it : connectionHeaders) {
    Remove(it);
  }
  for (const auto it : kHopByHopHeaders) {
    Remove(it);
  }
}

std::string SerializeRequestHead(const RequestHead& aHead, std::optional<std::size_t> aBodySize)
{
  std::string out = aHead.mMethod + " " + aHead.mTarget + " HTTP/1.1\r\n";
  AppendHeaders(out, aHead.mHeaders);
  if (aBodySize) {
    out += "Content-Length: " + std::to_string(*aBodySize) + "\r\n";
  }
  return out + "\r\n";
}

std::string SerializeResponseHead(const ResponseHead& aHead, Framing aFraming, std::size_t aSize)
{
  const auto reason = aHead.mReason.empty() ? std::string("-") : aHead.mReason;
  std::string out = "HTTP/1.1 " + std::to_string(aHead.mStatus) + " " + reason + "\r\n";
  AppendHeaders(out, aHead.mHeaders);
  if (aFraming == Framing::Length) {
    out += "Content-Length: " + std::to_string(aSize) + "\r\n";
  }
  if (aFraming == Framing::Chunked) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  return out + "\r\n";
}

std::string SerializeChunk(std::string_view aData)
{
  std::array<char, 20> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", aData.size());
  std::string out(buf.data(), static_cast<std::size_t>(n));
  return out.append(aData).append("\r\n");
}

} // namespace gentianloom::net
