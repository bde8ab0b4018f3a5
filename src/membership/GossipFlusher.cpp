#include "gentianloom/membership/GossipFlusher.h"

namespace gentianloom {

GossipFlusher::~GossipFlusher()
{
  Stop();
}

void GossipFlusher::Start()
{
  {
    const std::lock_guard lock(mMutex);
    mRunning = true;
  }
  mThread = std::thread([this] { Run(); });
}

void GossipFlusher::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  mFlushedCondition.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void GossipFlusher::FlushAndWait()
{
  std::unique_lock lock(mMutex);
  if (!mRunning || mStopping) {
    return;
  }
  const auto round = ++mRequestedRounds;
  mWake.notify_all();
  mFlushedCondition.wait_for(lock, mMaxWait, [&] { return mCompletedRound >= round || mStopping; });
}

void GossipFlusher::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mWake.wait(lock, [this] { return mStopping || mRequestedRounds > mCompletedRound; });
    const auto round = mRequestedRounds;
    if (mStopping) {
      return;
    }
    lock.unlock();
    mFlush();
    lock.lock();
    mCompletedRound = round;
    mFlushedCondition.notify_all();
  }
}

} // namespace gentianloom
