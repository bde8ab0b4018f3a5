#include "gentianloom/base/Log.h"

#include <boost/log/core.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace gentianloom {

namespace {

/// Redirects standard output to a pipe that is not read until Drain() is called.
class StdoutPipe
{
public:
  StdoutPipe()
  {
    std::cout.flush();
    CPPUNIT_ASSERT_EQUAL(0, pipe(mPipe.data()));
    mSavedStdout = dup(STDOUT_FILENO);
    dup2(mPipe[1], STDOUT_FILENO);
    fcntl(mPipe[0], F_SETFL, O_NONBLOCK);
    StartLog("test");
  }

  ~StdoutPipe()
  {
    boost::log::core::get()->remove_all_sinks();
    dup2(mSavedStdout, STDOUT_FILENO);
    close(mSavedStdout);
    close(mPipe[0]);
    close(mPipe[1]);
  }

  std::vector<nlohmann::json> Drain()
  {
    std::string text;
    std::array<char, 4'096> buf{};
    for (auto n = read(mPipe[0], buf.data(), buf.size()); n > 0;
         n = read(mPipe[0], buf.data(), buf.size())) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    std::vector<nlohmann::json> out;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      out.push_back(nlohmann::json::parse(line));
    }
    return out;
  }

private:
  std::array<int, 2> mPipe{};
  int mSavedStdout = -1;
};

} // namespace

class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(TestBlockedReader);
  CPPUNIT_TEST_SUITE_END();

public:
  // A reader of the log that stops reading must not block the process: lines that do not fit into
  // the pipe are dropped, and their number is logged.
  void TestBlockedReader()
  {
    constexpr std::size_t kLines = 5'000;
    StdoutPipe out;
    for (std::size_t n = 0; n < kLines; ++n) {
      LogChange(LogLevel::Info, "test", "flood", { { "n", std::to_string(n) }, { "empty", "" } });
    }
    const auto before = out.Drain();
    CPPUNIT_ASSERT(!before.empty() && before.size() < kLines);
    CPPUNIT_ASSERT_EQUAL(std::string("0"), before.front().at("n").get<std::string>());
    CPPUNIT_ASSERT(!before.front().contains("empty"));
    // The rate limit allows another line after some milliseconds.
    std::size_t attempts = 0;
    std::vector<nlohmann::json> after;
    while (after.empty()) {
      LogChange(LogLevel::Info, "test", "after", {});
      ++attempts;
      after = out.Drain();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, after.size());
    CPPUNIT_ASSERT_EQUAL(std::string("lines were dropped"),
                         after.front().at("change").get<std::string>());
    const auto dropped = std::stoul(after.front().at("lines").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(kLines + attempts, before.size() + dropped + 1);
    CPPUNIT_ASSERT_EQUAL(std::string("after"), after.back().at("change").get<std::string>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace gentianloom
