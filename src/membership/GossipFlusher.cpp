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
  mTold.notify_all();
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
  const auto round = ++mAsked;
  mWake.notify_all();
  mTold.wait_for(lock, mLongestWait, [&] { return mDone >= round || mStopping; });
}

void GossipFlusher::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mWake.wait(lock, [this] { return mStopping || mAsked > mDone; });
    const auto round = mAsked;
    if (mStopping) {
      return;
    }
    lock.unlock();
    mTell();
    lock.lock();
    mDone = round;
    mTold.notify_all();
  }
}

} // namespace gentianloom
