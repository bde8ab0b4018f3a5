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
 * @brief Parses JSON that may contain line and block comments.
 * @param aText JSON text
 * @param aSource file name or peer, reported in errors
 * @param aStep step reported in errors
 * @return the parsed value, or ErrorCode::MalformedJson with line and column in its text
 * @par Complexity linear in the text
 */
Result<Json> ParseJson(std::string_view aText, std::string_view aSource, Step aStep);

/**
 * @brief Finds the known word with the smallest edit distance to a misspelt one.
 * @return the word, or an empty view if no known word is similar
 * @par Complexity product of the lengths, for each known word
 */
std::string_view FindNearestWord(std::string_view aWord, std::span<const std::string> aKnown);

/**
 * @brief Strict reader of one JSON object that collects all errors instead of stopping at the
 * first.
 *
 * Each getter registers its key as known; Finish() then reports every other key of the object and
 * suggests the most similar known key. Error texts contain the JSON pointer, the problem and the
 * expected value.
 */
class JsonReader
{
public:
  /// Collects the errors of one document; shared by all readers of the document.
  struct Sink
  {
    std::string mSource;
    Step mStep = Step::Settings;
    std::vector<Error> mErrors{};
  };

  JsonReader(const Json& aObject, std::string aPointer, Sink& aSink);

  std::string String(std::string_view aKey);                              ///< required, not empty
  std::string StringOr(std::string_view aKey, std::string_view aDefault); ///< optional string
  std::int64_t Integer(std::string_view aKey, std::int64_t aMin, std::int64_t aMax); ///< required
  std::int64_t IntegerOr(std::string_view aKey,
                         std::int64_t aDefault,
                         std::int64_t aMin,
                         std::int64_t aMax);
  double NumberOr(std::string_view aKey, double aDefault, double aMin, double aMax);
  bool BoolOr(std::string_view aKey, bool aDefault);
  std::vector<std::string> Strings(std::string_view aKey); ///< optional array of strings

  /// @brief Reads an optional object at @p aKey with a nested reader.
  void Object(std::string_view aKey, const std::function<void(JsonReader&)>& aRead);

  /// @brief Reads an optional array of objects at @p aKey, each with a nested reader.
  void Objects(std::string_view aKey, const std::function<void(JsonReader&)>& aRead);

  /// @brief Reads an optional object with string values, such as addresses by name.
  std::vector<std::pair<std::string, std::string>> StringMap(std::string_view aKey);

  /// @brief Adds an error for every key that no getter has read.
  void Finish();

  /// @brief Adds an error at @p aKey of this object, or about the object itself if the key is
  /// empty.
  void AddError(ErrorCode aCode, std::string_view aKey, std::string aText);

  /// @brief Returns the JSON pointer of this object.
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
