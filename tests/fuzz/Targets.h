#ifndef GENTIANLOOM_TESTS_FUZZ_TARGETS_H
#define GENTIANLOOM_TESTS_FUZZ_TARGETS_H

#include <span>
#include <string>
#include <string_view>

namespace gentianloom::fuzz {

/// A parser of untrusted input, and valid inputs to start from.
struct Target
{
  std::string_view mName;
  std::span<const std::string_view> mCorpus;

  /// @brief Parses the input. @return a description of the parser's failure; empty if it has none
  std::string (*mRun)(std::string_view aInput);
};

/// @brief Returns all targets: the configuration file, the request body and the settings file.
std::span<const Target> Targets();

} // namespace gentianloom::fuzz

#endif
