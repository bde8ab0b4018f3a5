#ifndef GENTIANLOOM_BENCH_STREAM_CLIENT_H
#define GENTIANLOOM_BENCH_STREAM_CLIENT_H

#include <cstdint>
#include <string>

namespace gentianloom::bench {

/// A chat request to a router or directly to an engine.
struct StreamOrder
{
  std::string mAddress; ///< `IP:PORT`
  std::string mKey = "bench-key";
  std::int64_t mTokens = 16;
};

/// Response to a chat request.
struct StreamResult
{
  bool mWhole = false;           ///< the end marker was read
  std::int64_t mTokens = 0;      ///< events with content
  double mFirstTokenSeconds = 0; ///< measured from before the connection was opened
};

/// @brief Sends one streamed chat request and reads the complete response.
StreamResult ReadStream(const StreamOrder& aOrder);

} // namespace gentianloom::bench

#endif
