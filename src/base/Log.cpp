#include "gentianloom/base/Log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace gentianloom {

namespace {

/// Rate limit (token bucket): maximum burst, and lines per second after it.
constexpr double kBurstLines = 2'000;
constexpr double kLinesPerSecond = 400;
/// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kMaxLineBytes = 4'096;

std::string& InstanceName()
{
  static std::string sName = "gentianloom";
  return sName;
}

std::string_view ToString(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "info";
}

std::int64_t WallMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/**
 * @brief Sink backend that writes lines to standard output and never blocks.
 *
 * Lines beyond the rate limit, and lines that a slow reader does not accept, are dropped and
 * counted. The count is logged before the next line that is written.
 */
class NonBlockingOutput final
  : public boost::log::sinks::basic_formatted_sink_backend<char,
                                                           boost::log::sinks::synchronized_feeding>
{
public:
  // NOLINTNEXTLINE(readability-identifier-naming): name required by Boost.Log
  void consume(const boost::log::record_view& /*aRecord*/, const string_type& aLine)
  {
    if (!TakeToken() || !IsWritable()) {
      ++mDropped;
      return;
    }
    if (mDropped > 0) {
      nlohmann::ordered_json line;
      line["time_ms"] = WallMillis();
      line["level"] = "warning";
      line["instance"] = InstanceName();
      line["component"] = "log";
      line["change"] = "lines were dropped";
      line["lines"] = std::to_string(mDropped);
      mDropped = 0;
      Write(line.dump());
      if (!IsWritable()) {
        ++mDropped;
        return;
      }
    }
    Write(aLine);
  }

private:
  bool TakeToken()
  {
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - mLastRefill).count();
    mLastRefill = now;
    mTokens = std::min(kBurstLines, mTokens + elapsed * kLinesPerSecond);
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

  static bool IsWritable()
  {
    pollfd out{ STDOUT_FILENO, POLLOUT, 0 };
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  void Write(std::string aLine)
  {
    aLine.resize(std::min(aLine.size(), kMaxLineBytes - 1));
    aLine += '\n';
    const auto n = write(STDOUT_FILENO, aLine.data(), aLine.size());
    mDropped += n == static_cast<ssize_t>(aLine.size()) ? 0 : 1;
  }

  double mTokens = kBurstLines;
  std::chrono::steady_clock::time_point mLastRefill = std::chrono::steady_clock::now();
  std::uint64_t mDropped = 0;
};

} // namespace

void StartLog(std::string_view aInstance)
{
  InstanceName() = std::string(aInstance);
  using Sink = boost::log::sinks::synchronous_sink<NonBlockingOutput>;
  boost::log::core::get()->add_sink(
    boost::make_shared<Sink>(boost::make_shared<NonBlockingOutput>()));
}

void LogChange(LogLevel aLevel,
               std::string_view aComponent,
               std::string_view aText,
               std::initializer_list<LogField> aFields)
{
  static boost::log::sources::severity_logger_mt<LogLevel> sLogger;
  nlohmann::ordered_json line;
  line["time_ms"] = WallMillis();
  line["level"] = ToString(aLevel);
  line["instance"] = InstanceName();
  line["component"] = aComponent;
  line["change"] = aText;
  for (const auto& [name, value] : aFields) {
    if (!value.empty()) {
      line[std::string(name)] = value;
    }
  }
  const auto text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  BOOST_LOG_SEV(sLogger, aLevel) << text;
}

} // namespace gentianloom
