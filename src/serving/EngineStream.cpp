#include "gentianloom/serving/EngineStream.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <charconv>
#include <istream>
#include <utility>

#include <poll.h>

namespace gentianloom {

namespace {

constexpr int kPollMillis = 100;

/// Bytes after a chunk's content that the library leaves in its buffer until the next chunk.
constexpr int kChunkEndBytes = 2;

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kSequencePrefix = "id: ";
constexpr std::string_view kEndMarker = "[DONE]";

/// A client session that tells whether bytes are waiting in its buffer.
class EngineSession final : public Poco::Net::HTTPClientSession
{
public:
  using Poco::Net::HTTPClientSession::HTTPClientSession;
  int Buffered() const { return buffered(); }
  int Descriptor() { return socket().impl()->sockfd(); }
};

} // namespace

struct EngineStream::State
{
  State(const std::string& aAddress, const Poco::Net::StreamSocket& aSocket)
    : mAddress(aAddress)
    , mSession(aSocket)
  {
  }

  std::string mAddress;
  EngineSession mSession;
  /// Whether a byte of a next event may be waiting in this process.
  bool HasMore();

  /// Drops the blank lines that end an event, as far as they have arrived.
  void SkipBlankLines();

  /// Waits a poll interval for bytes from the engine.
  bool WaitReadable();

  std::istream* mIn = nullptr;
  Tokens mPromptTokens = 0;
  Tokens mOutputTokens = 0;
  std::int64_t mSequence = 0; ///< of the event whose data comes next
};

bool FindTokenCount(std::string_view aData, std::string_view aField, Tokens& aOut)
{
  const auto at = aData.rfind(aField);
  if (at == std::string_view::npos) {
    return false;
  }
  const char* begin = aData.data() + at + aField.size();
  const char* end = aData.data() + aData.size();
  while (begin != end && *begin == ' ') {
    ++begin;
  }
  Tokens n = 0;
  const auto [rest, ec] = std::from_chars(begin, end, n);
  if (ec != std::errc() || rest == begin) {
    return false;
  }
  aOut = n;
  return true;
}

EngineStream::EngineStream(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

EngineStream::~EngineStream() = default;

boost::outcome_v2::checked<std::unique_ptr<EngineStream>, CallFailure> EngineStream::Start(
  const std::string& aAddress,
  const HttpRequest& aRequest,
  const ServingSettings& aSettings)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    return CallFailure{ CallProgress::NotSent, address.error() };
  }
  auto progress = CallProgress::NotSent;
  try {
    const auto socket = Connect(
      address.value().first,
      address.value().second,
      { aSettings.mConnectTimeout, aSettings.mConnectTimeout, aSettings.mEndpointIdleTimeout });
    // From here on a failure may come after bytes went out, also while the head is written.
    progress = CallProgress::Sent;
    auto state = std::make_unique<State>(aAddress, socket);
    state->mSession.setKeepAlive(true);
    Poco::Net::HTTPRequest request(
      aRequest.mMethod, aRequest.mPath, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : aRequest.mHeaders) {
      request.set(name, value);
    }
    request.setHost(address.value().first, address.value().second);
    if (!aRequest.mBody.empty()) {
      request.setContentType(aRequest.mContentType);
      request.setContentLength(static_cast<std::streamsize>(aRequest.mBody.size()));
    }
    state->mSession.sendRequest(request) << aRequest.mBody << std::flush;
    return std::unique_ptr<EngineStream>(new EngineStream(std::move(state)));
  } catch (const Poco::Exception& ex) {
    return CallFailure{
      progress,
      MakeError(ErrorCode::EndpointFailed, Step::RequestDispatch, aAddress, ex.displayText())
    };
  }
}

Result<int> EngineStream::ReadStatus()
{
  try {
    Poco::Net::HTTPResponse response;
    mState->mIn = &mState->mSession.receiveResponse(response);
    return static_cast<int>(response.getStatus());
  } catch (const Poco::Exception& ex) {
    return MakeError(
      ErrorCode::EndpointFailed, Step::RequestDispatch, mState->mAddress, ex.displayText());
  }
}

bool EngineStream::State::HasMore()
{
  return mIn->rdbuf()->in_avail() > 0 || mSession.Buffered() > kChunkEndBytes;
}

void EngineStream::State::SkipBlankLines()
{
  auto& buf = *mIn->rdbuf();
  while (buf.in_avail() > 0 && (buf.sgetc() == '\n' || buf.sgetc() == '\r')) {
    buf.sbumpc();
  }
}

bool EngineStream::State::WaitReadable()
{
  pollfd it{ mSession.Descriptor(), POLLIN, 0 };
  return ::poll(&it, 1, kPollMillis) > 0;
}

StreamEvent EngineStream::Next()
{
  StreamEvent out;
  auto& state = *mState;
  try {
    if (state.HasMore() || state.WaitReadable()) {
      std::string line;
      const bool whole = std::getline(*state.mIn, line) && !state.mIn->eof();
      state.SkipBlankLines();
      if (whole) {
        ReadLine(line, out);
      } else {
        out.mState = StreamState::Broken;
      }
      out.mMoreBuffered = state.HasMore();
    }
  } catch (const Poco::Exception&) {
    out.mState = StreamState::Broken;
  }
  out.mPromptTokens = state.mPromptTokens;
  out.mOutputTokens = state.mOutputTokens;
  return out;
}

void EngineStream::ReadLine(std::string_view aLine, StreamEvent& aOut)
{
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  if (aLine.starts_with(kSequencePrefix)) {
    const auto* const begin = aLine.data() + kSequencePrefix.size();
    std::from_chars(begin, aLine.data() + aLine.size(), mState->mSequence);
  }
  if (!aLine.starts_with(kDataPrefix)) {
    aOut.mState = StreamState::Comment;
    return;
  }
  aOut.mData = aLine.substr(kDataPrefix.size());
  aOut.mSequence = std::exchange(mState->mSequence, 0);
  aOut.mState = aOut.mData == kEndMarker ? StreamState::Done : StreamState::Event;
  FindTokenCount(aOut.mData, "\"prompt_tokens\":", mState->mPromptTokens);
  FindTokenCount(aOut.mData, "\"completion_tokens\":", mState->mOutputTokens);
}

std::string EngineStream::ReadRest()
{
  std::string out;
  try {
    Poco::StreamCopier::copyToString(*mState->mIn, out);
  } catch (const Poco::Exception&) {
    return out;
  }
  return out;
}

} // namespace gentianloom
