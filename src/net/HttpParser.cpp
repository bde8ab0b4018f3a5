#include "gentianloom/net/HttpParser.h"

#include "gentianloom/net/HttpStatus.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <limits>

namespace gentianloom::net {

namespace {

namespace http = boost::beast::http;
using boost::asio::const_buffer;
using boost::beast::error_code;

/// Buffer for decoded body bytes in one call of the library's parser.
constexpr std::size_t kBodyBufferBytes = 16 * 1'024;
/// Largest accepted head of a response.
constexpr std::uint32_t kMaxResponseHeadBytes = 64 * 1'024;

/// Explicit maximum, because Boost 1.74 treats an unset limit as a limit of zero.
constexpr auto kNoLimit = std::numeric_limits<std::uint64_t>::max();

/// Interim responses that are skipped before a final one.
constexpr int kMaxInterimResponses = 16;
/// With more bytes than this, a size line, trailers or a head that are still incomplete never end.
constexpr std::size_t kMaxUnparsedBytes = kMaxResponseHeadBytes;

/// Size of the shortest last chunk. The library asserts that it gets this many bytes once it has
/// seen the size line of a last chunk that follows the head.
constexpr std::size_t kLastChunkBytes = 5;

std::string ToString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

template<typename Fields>
HeaderList ToHeaderList(const Fields& aFields)
{
  HeaderList out;
  for (const auto& it : aFields) {
    out.Add(ToString(it.name_string()), ToString(it.value()));
  }
  return out;
}

/// Whether two implementations could disagree on whether there is a body or where it ends, which
/// would allow request smuggling.
bool IsAmbiguous(const HeaderList& aHeaders)
{
  const auto lengths = aHeaders.Count("Content-Length");
  const auto codings = aHeaders.Count("Transfer-Encoding");
  if (lengths + codings > 1) {
    return true;
  }
  return codings == 1 && !EqualsIgnoreCase(*aHeaders.Find("Transfer-Encoding"), "chunked");
}

/// Whether a text consists of visible ASCII characters only, without spaces.
bool IsGraphicAscii(std::string_view aText)
{
  for (const auto it : aText) {
    if (it <= ' ' || it > '~') {
      return false;
    }
  }
  return true;
}

} // namespace

struct RequestParser::Impl
{
  http::request_parser<http::string_body> mParser;
};

RequestParser::RequestParser(const ParseLimits& aLimits)
  : mImpl(std::make_unique<Impl>())
  , mMaxHeaderFields(aLimits.mHeaderFields)
{
  mImpl->mParser.header_limit(aLimits.mHeadBytes);
  mImpl->mParser.body_limit(aLimits.mBodyBytes);
  mImpl->mParser.eager(true);
}

RequestParser::~RequestParser() = default;

void RequestParser::Fail(ParseFault aFault)
{
  mState = ParseState::Failed;
  mFault = aFault;
}

std::size_t RequestParser::Put(std::string_view aBytes)
{
  std::size_t used = 0;
  while (used < aBytes.size() && mState != ParseState::Done && mState != ParseState::Failed) {
    const bool isAtFirstChunk = mState == ParseState::HeadDone && mImpl->mParser.chunked() &&
                                mImpl->mParser.get().body().empty();
    if (isAtFirstChunk && aBytes.size() - used < kLastChunkBytes) {
      break;
    }
    error_code ec;
    const auto n = mImpl->mParser.put(const_buffer(aBytes.data() + used, aBytes.size() - used), ec);
    used += n;
    if (ec == http::error::need_more) {
      ec = {};
      if (n == 0 && aBytes.size() - used > 0 && !mImpl->mParser.is_header_done()) {
        break; // the head is incomplete, and the parser needs all of it again with more bytes
      }
    }
    if (ec) {
      const bool isHeadTooLarge = ec == http::error::header_limit;
      const bool isBodyTooLarge = ec == http::error::body_limit;
      Fail(isHeadTooLarge ? ParseFault::HeadTooLarge
                          : (isBodyTooLarge ? ParseFault::BodyTooLarge : ParseFault::Malformed));
      break;
    }
    if (mState == ParseState::NeedMore && mImpl->mParser.is_header_done()) {
      ExtractHead();
    }
    if (mState != ParseState::Failed && mImpl->mParser.is_done()) {
      mState = ParseState::Done;
    }
    if (n == 0) {
      break;
    }
  }
  return used;
}

void RequestParser::ExtractHead()
{
  auto& message = mImpl->mParser.get();
  mHead.mMethod = ToString(message.method_string());
  mHead.mTarget = ToString(message.target());
  mHead.mHeaders = ToHeaderList(message);
  mHead.mKeepAlive = mImpl->mParser.keep_alive();
  mState = ParseState::HeadDone;
  message.clear(); // the fields that were copied; the library's parser keeps its own state
  mHeadBytes = mHead.mTarget.capacity() + mHead.mHeaders.HeldBytes();
  if (mHead.mHeaders.Lines().size() > mMaxHeaderFields) {
    Fail(ParseFault::HeadTooLarge);
    return;
  }
  const bool hasOneHost = mHead.mHeaders.Count("Host") == 1;
  // An origin-form target is a path with an optional query.
  const bool isOriginForm = mHead.mTarget.starts_with('/') && IsGraphicAscii(mHead.mTarget);
  if (IsAmbiguous(mHead.mHeaders) || !hasOneHost || !isOriginForm) {
    Fail(ParseFault::Malformed);
  }
}

bool RequestParser::ExpectsContinue() const
{
  return mHead.mHeaders.HasToken("Expect", "100-continue");
}

bool RequestParser::HasBody() const
{
  return mImpl->mParser.chunked() || mHead.mHeaders.Find("Content-Length").has_value();
}

std::size_t RequestParser::BodyBytes() const
{
  const auto& body = mImpl->mParser.get().body();
  // The buffer of a body without a declared length grows ahead of its content. Of one with a
  // declared length the system has not assigned the rest yet.
  return mImpl->mParser.chunked() ? body.capacity() : body.size();
}

std::string RequestParser::TakeBody()
{
  return std::move(mImpl->mParser.get().body());
}

struct ResponseParser::Impl
{
  http::response_parser<http::buffer_body> mParser;
};

ResponseParser::ResponseParser(bool aHasNoBody)
  : mHasNoBody(aHasNoBody)
  , mImpl(std::make_unique<Impl>())
{
  mImpl->mParser.header_limit(kMaxResponseHeadBytes);
  mImpl->mParser.body_limit(kNoLimit);
  mImpl->mParser.skip(aHasNoBody);
}

ResponseParser::~ResponseParser() = default;

std::size_t ResponseParser::Put(std::string_view aBytes, std::string& aBody)
{
  std::size_t used = 0;
  while (used < aBytes.size() && mState != ParseState::Done && mState != ParseState::Failed) {
    if (mState == ParseState::HeadDone) {
      const auto n = PutBody(aBytes.substr(used), aBody);
      used += n;
      if (n == 0) {
        break;
      }
      continue;
    }
    error_code ec;
    const auto n = mImpl->mParser.put(const_buffer(aBytes.data() + used, aBytes.size() - used), ec);
    used += n;
    if (ec == http::error::need_more && n == 0) {
      break;
    }
    if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
      mState = ParseState::Failed;
      break;
    }
    if (mImpl->mParser.is_header_done()) {
      ExtractHead();
    }
  }
  if (used == 0 && mState != ParseState::Done && aBytes.size() >= kMaxUnparsedBytes) {
    mState = ParseState::Failed;
  }
  return used;
}

void ResponseParser::ExtractHead()
{
  auto& parser = mImpl->mParser;
  const auto status = static_cast<int>(parser.get().result_int());
  if (!IsStatus(status)) {
    mState = ParseState::Failed;
    return;
  }
  if (IsInterim(status)) {
    if (++mInterimResponses > kMaxInterimResponses) {
      mState = ParseState::Failed;
      return;
    }
    mImpl = std::make_unique<Impl>();
    mImpl->mParser.header_limit(kMaxResponseHeadBytes);
    mImpl->mParser.body_limit(kNoLimit);
    mImpl->mParser.skip(mHasNoBody);
    return;
  }
  mHead.mStatus = status;
  mHead.mReason = ToString(parser.get().reason());
  mHead.mHeaders = ToHeaderList(parser.get());
  mHead.mKeepAlive = parser.keep_alive();
  mState = parser.is_done() ? ParseState::Done : ParseState::HeadDone;
  if (IsAmbiguous(mHead.mHeaders)) {
    mState = ParseState::Failed;
    return;
  }
  const auto length = parser.content_length();
  mContentLength = length ? *length : 0;
  if (parser.chunked()) {
    mFraming = Framing::Chunked;
  } else if (length) {
    mFraming = Framing::Length;
  } else {
    mFraming = parser.need_eof() ? Framing::UntilClose : Framing::None;
  }
}

std::size_t ResponseParser::PutBody(std::string_view aBytes, std::string& aBody)
{
  auto& parser = mImpl->mParser;
  const bool isAtFirstChunk = mFraming == Framing::Chunked && !mHasBodyBytes;
  if (isAtFirstChunk && aBytes.size() < kLastChunkBytes) {
    return 0;
  }
  std::array<char, kBodyBufferBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
  parser.get().body().data = buf.data();
  parser.get().body().size = buf.size();
  parser.get().body().more = true;
  error_code ec;
  const auto n = parser.put(const_buffer(aBytes.data(), aBytes.size()), ec);
  const auto decodedBytes = buf.size() - parser.get().body().size;
  aBody.append(buf.data(), decodedBytes);
  mHasBodyBytes = mHasBodyBytes || decodedBytes > 0;
  if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
    mState = ParseState::Failed;
    return n;
  }
  if (parser.is_done()) {
    mState = ParseState::Done;
  }
  return n;
}

void ResponseParser::PutEof()
{
  if (mState == ParseState::Done || mState == ParseState::Failed) {
    return;
  }
  if (mState == ParseState::NeedMore) {
    mState = ParseState::Failed; // without a complete head, put_eof() must not be called
    return;
  }
  error_code ec;
  mImpl->mParser.put_eof(ec);
  const bool isComplete = !ec && mState == ParseState::HeadDone && mImpl->mParser.is_done();
  mState = isComplete ? ParseState::Done : ParseState::Failed;
}

} // namespace gentianloom::net
