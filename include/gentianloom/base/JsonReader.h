#ifndef GENTIANLOOM_BASE_JSON_READER_H
#define GENTIANLOOM_BASE_JSON_READER_H

#include "gentianloom/base/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

using Json = nlohmann::json;

/**
 * @brief Parses JSON with comments of both kinds.
 * @param aText the text
 * @param aSource file name or peer, named in errors
 * @param aStep step that errors carry
 * @return the value, or ErrorCode::MalformedJson with line and column
 * @par Complexity linear in the text
 */
Result<Json> ParseJson(std::string_view aText, std::string_view aSource, Step aStep);

/**
 * @brief Finds the known word nearest to a misspelt one.
 * @return the word, or an empty view if none is near
 * @par Complexity product of the lengths, for each known word
 */
std::string_view FindNearestWord(std::string_view aWord, std::span<const std::string> aKnown);

/**
 * @brief Reads one JSON object strictly and gathers every error in it.
 *
 * Each getter notes its key as known; Finish() then reports keys nobody asked for, with the nearest
 * known key. Errors name the JSON pointer, what is wrong and what to write instead.
 */
class JsonReader
{
public:
  /// Where errors are gathered; shared by the readers of one document.
  struct Sink
  {
    std::string mSource;
    Step mStep = Step::Settings;
    std::vector<Error> mErrors{};
  };

  JsonReader(const Json& aObject, std::string aPointer, Sink& aSink);

  std::string String(std::string_view aKey);                              ///< required text
  std::string StringOr(std::string_view aKey, std::string_view aDefault); ///< optional text
  std::int64_t Integer(std::string_view aKey, std::int64_t aMin, std::int64_t aMax); ///< required
  std::int64_t IntegerOr(std::string_view aKey,
                         std::int64_t aDefault,
                         std::int64_t aMin,
                         std::int64_t aMax);
  double NumberOr(std::string_view aKey, double aDefault, double aMin, double aMax);
  bool BoolOr(std::string_view aKey, bool aDefault);
  std::vector<std::string> Strings(std::string_view aKey); ///< optional list of texts

  /// @brief Reads an optional object under @p aKey with a reader of its own.
  void Object(std::string_view aKey, const std::function<void(JsonReader&)>& aRead);

  /// @brief Reads an optional list of objects under @p aKey, each with a reader of its own.
  void Objects(std::string_view aKey, const std::function<void(JsonReader&)>& aRead);

  /// @brief Reads an optional object whose values are texts, such as a table of addresses.
  std::vector<std::pair<std::string, std::string>> StringMap(std::string_view aKey);

  /// @brief Reports every key that no getter asked for.
  void Finish();

  /// @brief Reports an error at @p aKey of this object.
  void AddError(ErrorCode aCode, std::string_view aKey, std::string aText);

  /// @brief JSON pointer of this object.
  const std::string& Pointer() const { return mPointer; }

private:
  const Json* Find(std::string_view aKey);
  std::int64_t CheckedInteger(const Json& aValue,
                              std::string_view aKey,
                              std::int64_t aMin,
                              std::int64_t aMax);

  const Json& mObject;
  std::string mPointer;
  Sink& mSink;
  std::vector<std::string> mKnown;
};

} // namespace gentianloom

#endif
