#include "EngineControlRole.h"
#include "EngineStreams.h"
#include "PrefixCache.h"
#include "StandinServer.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <thread>

namespace gentianloom::standin {

namespace {

constexpr std::string_view kStreamsPrefix = "/v1/streams/";
constexpr std::string_view kCrashMark = "crash-this-endpoint";
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::string_view kEventsPath = "/events?after=";

/// A request that the engine ran.
struct JournalEntry
{
  std::string mRequestId;
  std::string mOrganisation;
  std::string mIdempotencyKey;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  bool mWhole = false;
  std::int64_t mResumed = 0; ///< readers that took the stream over
};

EngineStreams::Key KeyOf(const Poco::Net::HTTPServerRequest& aRequest, const std::string& aId)
{
  return { aRequest.get("Gentianloom-Organisation", ""), aId };
}

std::int64_t CountPrompt(const Json& aBody)
{
  std::int64_t bytes = 0;
  for (const auto& it : aBody.value("messages", Json::array())) {
    bytes += static_cast<std::int64_t>(it.at("content").dump().size());
  }
  return bytes / kBytesPerToken + 1;
}

/// A model engine that writes numbered words.
class EngineRole final : public Role
{
public:
  explicit EngineRole(const StandinOptions& aOptions)
    : mOptions(aOptions)
    , mControl(aOptions.mChecksFencing, mFaults)
  {
  }

  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse) override
  {
    const auto& uri = aRequest.getURI();
    if (uri == "/journal") {
      SendJson(aResponse, 200, JournalJson());
    } else if (uri == "/load") {
      SendJson(aResponse,
               200,
               { { "name", mOptions.mName },
                 { "run", mRun },
                 { "running", mRunning.load() },
                 { "slots", mOptions.mSlots },
                 { "leaving", mFaults.Value("leavingOn") != 0 },
                 { "last_event", mCache.LastSequence() } });
    } else if (uri.starts_with(kEventsPath)) {
      SendJson(aResponse, 200, mCache.EventsAfter(std::stoll(uri.substr(kEventsPath.size()))));
    } else if (uri.starts_with("/control")) {
      mControl.Handle(aRequest, aResponse);
    } else if (uri == "/v1/chat/completions") {
      Complete(aRequest, aResponse);
    } else if (uri.starts_with(kStreamsPrefix) && aRequest.getMethod() == "DELETE") {
      Cancel(aRequest, aResponse);
    } else if (uri.starts_with(kStreamsPrefix)) {
      Resume(aRequest, aResponse);
    } else {
      SendJson(aResponse, uri == "/healthz" ? 200 : 404, Json::object());
    }
  }

private:
  Json JournalJson()
  {
    const std::lock_guard lock(mMutex);
    Json list = Json::array();
    for (const auto& it : mJournal) {
      list.push_back({ { "request_id", it.mRequestId },
                       { "organisation", it.mOrganisation },
                       { "idempotency_key", it.mIdempotencyKey },
                       { "prompt_tokens", it.mPromptTokens },
                       { "output_tokens", it.mOutputTokens },
                       { "whole", it.mWhole },
                       { "resumed", it.mResumed } });
    }
    return { { "name", mOptions.mName }, { "entries", list } };
  }

  std::size_t StartEntry(const Poco::Net::HTTPServerRequest& aRequest, std::int64_t aPrompt)
  {
    const std::lock_guard lock(mMutex);
    mJournal.push_back({ aRequest.get("X-Request-Id", ""),
                         aRequest.get("Gentianloom-Organisation", ""),
                         aRequest.get("Idempotency-Key", ""),
                         aPrompt });
    return mJournal.size() - 1;
  }

  void RecordTokens(std::size_t aEntry, std::int64_t aTokens, bool aWhole)
  {
    const std::lock_guard lock(mMutex);
    mJournal[aEntry].mOutputTokens = aTokens;
    mJournal[aEntry].mWhole = aWhole;
  }

  void Complete(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse)
  {
    const auto text = ReadBody(aRequest);
    if (text.find(kCrashMark) != std::string::npos && mFaults.Value("crashOnMarkOn") != 0) {
      std::_Exit(70);
    }
    const auto body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("messages")) {
      SendJson(aResponse, 400, { { "error", "not a chat completion request" } });
      return;
    }
    if (mRunning.load() >= mOptions.mSlots) {
      SendJson(aResponse, 429, { { "error", "no slot is free" } });
      return;
    }
    ++mRunning;
    const auto entry = StartEntry(aRequest, CountPrompt(body));
    mCache.Store(HashPrefixes(ExtractPrompt(text)));
    try {
      Stream(aRequest, aResponse, body, entry);
    } catch (...) {
      --mRunning;
      throw;
    }
    --mRunning;
  }

  void Cancel(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse)
  {
    const auto id = aRequest.getURI().substr(kStreamsPrefix.size());
    const auto stream = mStreams.Find(KeyOf(aRequest, id));
    const bool done = stream && stream->Cancel(aRequest.get("Gentianloom-Attempt", ""));
    SendJson(aResponse, done ? 200 : 404, Json::object());
  }

  void Resume(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse)
  {
    const auto rest = aRequest.getURI().substr(kStreamsPrefix.size());
    const auto question = rest.find("?after=");
    const auto id = rest.substr(0, question);
    const auto stream = mStreams.Find(KeyOf(aRequest, id));
    if (!stream || mFaults.Value("cannotResumeOn") != 0) {
      SendJson(aResponse, 404, { { "error", "no such stream is kept" } });
      return;
    }
    const auto after = question == std::string::npos ? 0 : std::stoll(rest.substr(question + 7));
    stream->TakeOver(aRequest.get("Gentianloom-Attempt", ""));
    NoteResumed(id);
    auto& out = StartStream(aResponse);
    std::string heldBack;
    for (auto n = after + 1; n <= stream->Wanted(); ++n) {
      if (!stream->WaitGenerated(n)) {
        throw std::runtime_error("the stream was cancelled");
      }
      WriteToken(out, *stream, id, n, heldBack);
    }
    out << "data: [DONE]\n\n" << std::flush;
  }

  void NoteResumed(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    for (auto& it : mJournal) {
      it.mResumed += it.mRequestId == aId ? 1 : 0;
    }
  }

  static std::ostream& StartStream(Poco::Net::HTTPServerResponse& aResponse)
  {
    aResponse.setContentType("text/event-stream");
    aResponse.setChunkedTransferEncoding(true);
    return aResponse.send();
  }

  /// Writes the event of one token, with the faults that the engine was told to show.
  void WriteToken(std::ostream& aOut,
                  const GeneratedStream& aStream,
                  const std::string& aId,
                  std::int64_t aToken,
                  std::string& aHeldBack)
  {
    const bool last = aToken == aStream.Wanted();
    const auto id = aToken > 2 && mFaults.Take("crossEvent") ? "req-of-another-caller" : aId;
    const Json chunk = {
      { "id", id },
      { "object", "chat.completion.chunk" },
      { "choices",
        Json::array({ { { "index", 0 },
                        { "delta", { { "content", "w" + std::to_string(aToken) + " " } } },
                        { "finish_reason", last ? Json("stop") : Json() } } }) },
      { "usage", { { "prompt_tokens", aStream.Prompt() }, { "completion_tokens", aToken } } }
    };
    const auto text = "id: " + std::to_string(aToken) + "\ndata: " + chunk.dump() + "\n\n";
    if (aToken > 2 && !last && mFaults.Take("reorder")) {
      aHeldBack = text;
      return;
    }
    aOut << text << std::exchange(aHeldBack, {});
    if (mFaults.Take("duplicate")) {
      aOut << text;
    }
    aOut << std::flush;
  }

  void Stream(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse,
              const Json& aBody,
              std::size_t aEntry)
  {
    const auto wanted = std::min<std::int64_t>(aBody.value("max_tokens", std::int64_t{ 16 }),
                                               aBody.value("standin_tokens", std::int64_t{ 16 }));
    const auto id = aRequest.get("X-Request-Id", "none");
    const auto awayAfter = mFaults.Value("goAwayAfterTokens");
    const auto stream = std::make_shared<GeneratedStream>(
      CountPrompt(aBody), wanted, aRequest.get("Gentianloom-Attempt", ""));
    mStreams.Keep(KeyOf(aRequest, id), stream);
    auto next = std::chrono::steady_clock::now();
    next += std::chrono::microseconds(mOptions.mFirstTokenMicros);
    if (!stream->WaitUntil(next)) {
      return;
    }
    std::ostream* out = &StartStream(aResponse);
    while (mFaults.Value("endlessCommentsOn") != 0 && out->good()) {
      *out << ": wait\n\n" << std::flush;
    }
    std::string heldBack; // event that the fault `reorder` delays until after the next one
    for (std::int64_t n = 1; n <= wanted; ++n) {
      stream->Advance();
      RecordTokens(aEntry, n, n == wanted);
      if (out != nullptr) {
        WriteToken(*out, *stream, id, n, heldBack);
      }
      if (out != nullptr && awayAfter > 0 && n >= awayAfter) {
        DropConnection(aRequest);
        out = nullptr;
      }
      if (out != nullptr && !out->good()) {
        out = nullptr;
      }
      if (out == nullptr && mFaults.Value("cannotResumeOn") != 0) {
        return;
      }
      next += std::chrono::microseconds(mOptions.mTokenMicros);
      if (!stream->WaitUntil(next)) {
        return;
      }
    }
    if (out != nullptr) {
      *out << "data: [DONE]\n\n" << std::flush;
    }
  }

  StandinOptions mOptions;
  std::string mRun = MakeId("run");
  PrefixCache mCache;
  EngineControlRole mControl;
  std::mutex mMutex;
  std::vector<JournalEntry> mJournal;
  EngineStreams mStreams;
  std::atomic<std::int64_t> mRunning{ 0 };
};

/// An application worker: a service that records each call.
class WorkerRole final : public Role
{
public:
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse) override
  {
    const auto& uri = aRequest.getURI();
    std::unique_lock lock(mMutex);
    if (uri == "/journal") {
      SendJson(aResponse, 200, { { "entries", mJournal } });
      return;
    }
    if (uri == "/healthz") {
      SendJson(aResponse, 200, Json::object());
      return;
    }
    mJournal.push_back({ { "request_id", aRequest.get("X-Request-Id", "") },
                         { "organisation", aRequest.get("Gentianloom-Organisation", "") },
                         { "idempotency_key", aRequest.get("Idempotency-Key", "") },
                         { "method", aRequest.getMethod() },
                         { "path", uri },
                         { "body", ReadBody(aRequest) } });
    lock.unlock();
    mFaults.WaitWhileOn("holdRunOn");
    lock.lock();
    if (mFaults.Take("loseAnswer")) {
      throw std::runtime_error("injected loss of the response");
    }
    SendJson(aResponse, 200, { { "ran", mJournal.size() }, { "path", uri } });
  }

private:
  std::mutex mMutex;
  Json mJournal = Json::array();
};

} // namespace

std::unique_ptr<Role> MakeEngineRole(const StandinOptions& aOptions)
{
  return std::make_unique<EngineRole>(aOptions);
}

std::unique_ptr<Role> MakeWorkerRole(const StandinOptions& /*aOptions*/)
{
  return std::make_unique<WorkerRole>();
}

} // namespace gentianloom::standin
