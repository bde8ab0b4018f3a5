#ifndef GENTIANLOOM_TESTS_STANDIN_ENGINE_STREAMS_H
#define GENTIANLOOM_TESTS_STANDIN_ENGINE_STREAMS_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace gentianloom::standin {

/// A stream that the engine generates independently of its reader. Thread-safe.
class GeneratedStream
{
public:
  GeneratedStream(std::int64_t aPrompt, std::int64_t aWanted, std::string aReader)
    : mPrompt(aPrompt)
    , mWanted(aWanted)
    , mReader(std::move(aReader))
  {
  }

  std::int64_t Prompt() const { return mPrompt; }
  std::int64_t Wanted() const { return mWanted; }

  /// @brief Records one more generated token.
  void Advance()
  {
    const std::lock_guard lock(mMutex);
    ++mGenerated;
    mChanged.notify_all();
  }

  /// @brief Waits until a point in time. @return false if the stream was cancelled before it
  bool WaitUntil(std::chrono::steady_clock::time_point aTime)
  {
    std::unique_lock lock(mMutex);
    return !mChanged.wait_until(lock, aTime, [this] { return mCancelled; });
  }

  /// @brief Waits until a token was generated. @return false if the stream was cancelled before
  bool WaitGenerated(std::int64_t aToken)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [&] { return mCancelled || mGenerated >= aToken; });
    return mGenerated >= aToken;
  }

  /// @brief Replaces the reader; the previous one can no longer cancel the stream.
  void TakeOver(std::string aReader)
  {
    const std::lock_guard lock(mMutex);
    mReader = std::move(aReader);
  }

  /// @brief Cancels the stream if @p aReader is its current reader. @return whether it is
  bool Cancel(const std::string& aReader)
  {
    const std::lock_guard lock(mMutex);
    if (aReader != mReader) {
      return false;
    }
    mCancelled = true;
    mChanged.notify_all();
    return true;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::int64_t mPrompt;
  std::int64_t mWanted;
  std::int64_t mGenerated = 0;
  std::string mReader;
  bool mCancelled = false;
};

using GeneratedStreamPtr = std::shared_ptr<GeneratedStream>;

/// The most recent streams of an engine, by organisation and request id. Thread-safe.
class EngineStreams
{
public:
  using Key = std::pair<std::string, std::string>;

  void Keep(const Key& aKey, GeneratedStreamPtr aStream)
  {
    constexpr std::size_t kMaxStreams = 4'096;
    const std::lock_guard lock(mMutex);
    mStreams[aKey] = std::move(aStream);
    mOrder.push_back(aKey);
    if (mOrder.size() > kMaxStreams) {
      mStreams.erase(mOrder.front());
      mOrder.pop_front();
    }
  }

  GeneratedStreamPtr Find(const Key& aKey)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mStreams.find(aKey);
    return it == mStreams.end() ? nullptr : it->second;
  }

private:
  std::mutex mMutex;
  std::map<Key, GeneratedStreamPtr> mStreams;
  std::deque<Key> mOrder;
};

} // namespace gentianloom::standin

#endif
