#include "gentianloom/serving/EngineStream.h"

#include "gentianloom/net/HttpStatus.h"

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

constexpr int kPollIntervalMs = 100;
/// Bytes that are received for one event at most, or for the head of the response.
constexpr std::size_t kMaxEventBytes = 256 * 1'024;

/// Size of the CRLF after the data of a chunk. Poco leaves it in its buffer until it reads the next
/// chunk, so these bytes do not mean that more of the stream has arrived.
constexpr int kChunkTrailerBytes = 2;

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kSequencePrefix = "id: ";
constexpr std::string_view kEndMarker = "[DONE]";

/// A client session that gives access to the fill level of its buffer and to its socket.
class EngineSession final : public Poco::Net::HTTPClientSession
{
public:
  using Poco::Net::HTTPClientSession::HTTPClientSession;
  int Buffered() const { return buffered(); }
  int Descriptor() { return socket().impl()->sockfd(); }
  void Allow(std::size_t aBytes) { BoundedSocket::LimitsOf(socket())->Allow(aBytes); }
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

  /// Whether bytes after the last read line may be buffered in this process.
  bool HasBufferedData();

  /// Skips the blank lines that end an event, as far as they have arrived. Does not block.
  void SkipBlankLines();

  /// Waits up to one poll interval for bytes from the engine. @return whether some arrived
  bool WaitReadable();

  std::istream* mIn = nullptr;
  Tokens mPromptTokens = 0;
  Tokens mOutputTokens = 0;
  std::int64_t mSequence = 0; ///< of the last `id:` line, for the next event; 0 if there was none
};

bool StatesNotRun(int aStatus)
{
  const bool isRefused = aStatus >= net::kMultipleChoices && aStatus < net::kFirstServerError;
  return isRefused || aStatus == net::kUnavailable;
}

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
  const ServingSettings& aSettings,
  Millis aMaxDuration)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    return CallFailure{ CallProgress::NotSent, address.error() };
  }
  auto progress = CallProgress::NotSent;
  const ReceiveLimits limits{ kMaxEventBytes, std::chrono::steady_clock::now() + aMaxDuration };
  try {
    const auto socket = Connect(
      address.value().first,
      address.value().second,
      { aSettings.mConnectTimeout, aSettings.mConnectTimeout, aSettings.mEndpointIdleTimeout },
      limits);
    // From here on, bytes may have been sent even if writing the headers fails.
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
    mState->mIn = &ReceiveHead(mState->mSession, response);
    return static_cast<int>(response.getStatus());
  } catch (const Poco::Exception& ex) {
    return MakeError(
      ErrorCode::EndpointFailed, Step::RequestDispatch, mState->mAddress, ex.displayText());
  }
}

bool EngineStream::State::HasBufferedData()
{
  return mIn->rdbuf()->in_avail() > 0 || mSession.Buffered() > kChunkTrailerBytes;
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
  return ::poll(&it, 1, kPollIntervalMs) > 0;
}

StreamEvent EngineStream::ReadEvent()
{
  StreamEvent out;
  auto& state = *mState;
  state.mSession.Allow(kMaxEventBytes);
  try {
    if (state.HasBufferedData() || state.WaitReadable()) {
      std::string line;
      const bool isComplete = std::getline(*state.mIn, line) && !state.mIn->eof();
      state.SkipBlankLines();
      if (isComplete) {
        ParseLine(line, out);
      } else {
        out.mState = StreamState::Broken;
      }
      out.mHasMoreBuffered = state.HasBufferedData();
    }
  } catch (const Poco::Exception&) {
    out.mState = StreamState::Broken;
  }
  out.mPromptTokens = state.mPromptTokens;
  out.mOutputTokens = state.mOutputTokens;
  return out;
}

void EngineStream::ParseLine(std::string_view aLine, StreamEvent& aOut)
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

std::string EngineStream::ReadRemainder()
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
