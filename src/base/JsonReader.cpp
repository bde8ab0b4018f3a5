#include "gentianloom/base/JsonReader.h"

#include <algorithm>
#include <numeric>

namespace gentianloom {

namespace {

/// Words that differ by more edits are not suggested as corrections.
constexpr std::size_t kMaxEditDistance = 3;

std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t cost = aLeft[i - 1] == aRight[j - 1] ? 0 : 1;
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, diagonal + cost });
      diagonal = above;
    }
  }
  return row[aRight.size()];
}

/// Maximum nesting depth of arrays and objects.
constexpr int kMaxNestingDepth = 64;

/// SAX handler that tracks the nesting depth without building values; ends the parse beyond
/// kMaxNestingDepth.
class NestingDepthChecker final : public nlohmann::json_sax<Json>
{
public:
  bool Exceeded() const { return mDepth > kMaxNestingDepth; }

  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(number_integer_t /*aValue*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(number_float_t /*aValue*/, const string_t& /*aText*/) override { return true; }
  bool string(string_t& /*aValue*/) override { return true; }
  bool binary(binary_t& /*aValue*/) override { return true; }
  bool key(string_t& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aElements*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*aElements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& /*aError*/) override
  {
    return false;
  }

private:
  bool Enter() { return ++mDepth <= kMaxNestingDepth; }
  bool Leave()
  {
    --mDepth;
    return true;
  }

  int mDepth = 0;
};

/// Formats the position of a byte as `source:line:column`.
std::string FormatPosition(std::string_view aText, std::size_t aByte, std::string_view aSource)
{
  const auto end = std::min(aByte, aText.size());
  const auto head = aText.substr(0, end);
  const auto line = 1 + std::count(head.begin(), head.end(), '\n');
  const auto start = head.rfind('\n');
  const auto column = start == std::string_view::npos ? end : end - start - 1;
  return std::string(aSource) + ":" + std::to_string(line) + ":" + std::to_string(column);
}

} // namespace

Result<Json> ParseJson(std::string_view aText, std::string_view aSource, Step aStep)
{
  const auto makeError = [&](std::size_t aByte, std::string_view aReason) {
    return MakeError(ErrorCode::MalformedJson,
                     aStep,
                     aSource,
                     FormatPosition(aText, aByte, aSource) + ": " + std::string(aReason));
  };
  // Json values are serialized and compared recursively, so the nesting depth is limited to protect
  // the stack. The parser's callback could check the depth too, but it makes parsing quadratic in
  // the length of an array.
  NestingDepthChecker depth;
  Json::sax_parse(aText, &depth, nlohmann::json::input_format_t::json, true, true);
  if (depth.Exceeded()) {
    return makeError(0, "objects and arrays are nested too deeply; reduce the nesting");
  }
  try {
    return Json::parse(aText, nullptr, true, true);
  } catch (const Json::parse_error& ex) {
    return makeError(ex.byte,
                     "invalid JSON at this position; check for a missing comma, quote or bracket");
  } catch (const Json::exception&) {
    return makeError(0, "a number is out of range; write a smaller one");
  }
}

std::string_view FindNearestWord(std::string_view aWord, std::span<const std::string> aKnown)
{
  std::string_view best;
  std::size_t bestDistance = kMaxEditDistance + 1;
  for (const auto& it : aKnown) {
    const std::size_t n = EditDistance(aWord, it);
    if (n < bestDistance) {
      bestDistance = n;
      best = it;
    }
  }
  return best;
}

JsonReader::JsonReader(const Json& aObject, std::string aPointer, Sink& aSink)
  : mObject(aObject)
  , mPointer(std::move(aPointer))
  , mSink(aSink)
{
  if (!mObject.is_object()) {
    AddError(ErrorCode::WrongType, "", "must be an object; write { ... }");
  }
}

const Json* JsonReader::Find(std::string_view aKey)
{
  mKnown.emplace_back(aKey);
  if (!mObject.is_object()) {
    return nullptr;
  }
  const auto it = mObject.find(std::string(aKey));
  return it == mObject.end() ? nullptr : &*it;
}

void JsonReader::AddError(ErrorCode aCode, std::string_view aKey, std::string aText)
{
  std::string pointer = mPointer;
  if (!aKey.empty()) {
    pointer += "/" + std::string(aKey);
  }
  mSink.mErrors.push_back(MakeError(
    aCode, mSink.mStep, mSink.mSource, mSink.mSource + "#" + pointer + ": " + std::move(aText)));
}

std::string JsonReader::String(std::string_view aKey)
{
  const Json* it = Find(aKey);
  if (it == nullptr) {
    AddError(ErrorCode::MissingKey, aKey, "is missing; write a string in quotes");
    return {};
  }
  if (!it->is_string() || it->get_ref<const std::string&>().empty()) {
    AddError(ErrorCode::WrongType, aKey, "must be a string that is not empty");
    return {};
  }
  return it->get<std::string>();
}

std::string JsonReader::StringOr(std::string_view aKey, std::string_view aDefault)
{
  const Json* it = Find(aKey);
  if (it == nullptr) {
    return std::string(aDefault);
  }
  if (!it->is_string()) {
    AddError(ErrorCode::WrongType, aKey, "must be a string in quotes");
    return std::string(aDefault);
  }
  return it->get<std::string>();
}

std::int64_t JsonReader::CheckedInteger(const Json& aValue,
                                        std::string_view aKey,
                                        std::int64_t aMin,
                                        std::int64_t aMax)
{
  const bool isInt64 = aValue.is_number_integer() &&
                       (!aValue.is_number_unsigned() ||
                        aValue.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
  if (!isInt64) {
    AddError(ErrorCode::WrongType, aKey, "must be an integer without quotes");
    return aMin;
  }
  const auto n = aValue.get<std::int64_t>();
  if (n < aMin || n > aMax) {
    AddError(ErrorCode::OutOfRange,
             aKey,
             "is " + std::to_string(n) + "; write a number from " + std::to_string(aMin) + " to " +
               std::to_string(aMax));
    return aMin;
  }
  return n;
}

std::int64_t JsonReader::Integer(std::string_view aKey, std::int64_t aMin, std::int64_t aMax)
{
  const Json* it = Find(aKey);
  if (it == nullptr) {
    AddError(ErrorCode::MissingKey, aKey, "is missing; write an integer");
    return aMin;
  }
  return CheckedInteger(*it, aKey, aMin, aMax);
}

std::int64_t JsonReader::IntegerOr(std::string_view aKey,
                                   std::int64_t aDefault,
                                   std::int64_t aMin,
                                   std::int64_t aMax)
{
  const Json* it = Find(aKey);
  return it == nullptr ? aDefault : CheckedInteger(*it, aKey, aMin, aMax);
}

double JsonReader::NumberOr(std::string_view aKey, double aDefault, double aMin, double aMax)
{
  const Json* it = Find(aKey);
  if (it == nullptr) {
    return aDefault;
  }
  if (!it->is_number() || it->get<double>() < aMin || it->get<double>() > aMax) {
    AddError(ErrorCode::OutOfRange,
             aKey,
             "must be a number from " + Json(aMin).dump() + " to " + Json(aMax).dump());
    return aDefault;
  }
  return it->get<double>();
}

bool JsonReader::BoolOr(std::string_view aKey, bool aDefault)
{
  const Json* it = Find(aKey);
  if (it == nullptr) {
    return aDefault;
  }
  if (!it->is_boolean()) {
    AddError(ErrorCode::WrongType, aKey, "must be true or false, without quotes");
    return aDefault;
  }
  return it->get<bool>();
}

std::vector<std::string> JsonReader::Strings(std::string_view aKey)
{
  std::vector<std::string> out;
  const Json* it = Find(aKey);
  if (it == nullptr) {
    return out;
  }
  if (!it->is_array()) {
    AddError(ErrorCode::WrongType, aKey, "must be an array of strings; write [ \"...\" ]");
    return out;
  }
  for (const auto& item : *it) {
    if (!item.is_string()) {
      AddError(ErrorCode::WrongType, aKey, "must contain only strings in quotes");
      continue;
    }
    out.push_back(item.get<std::string>());
  }
  return out;
}

void JsonReader::Object(std::string_view aKey, const std::function<void(JsonReader&)>& aRead)
{
  const Json* it = Find(aKey);
  if (it == nullptr) {
    return;
  }
  JsonReader reader(*it, mPointer + "/" + std::string(aKey), mSink);
  aRead(reader);
  reader.Finish();
}

void JsonReader::Objects(std::string_view aKey, const std::function<void(JsonReader&)>& aRead)
{
  const Json* it = Find(aKey);
  if (it == nullptr) {
    return;
  }
  if (!it->is_array()) {
    AddError(ErrorCode::WrongType, aKey, "must be an array of objects; write [ { ... } ]");
    return;
  }
  std::size_t n = 0;
  for (const auto& item : *it) {
    JsonReader reader(item, mPointer + "/" + std::string(aKey) + "/" + std::to_string(n++), mSink);
    if (!item.is_object()) {
      continue;
    }
    aRead(reader);
    reader.Finish();
  }
}

std::vector<std::pair<std::string, std::string>> JsonReader::StringMap(std::string_view aKey)
{
  std::vector<std::pair<std::string, std::string>> out;
  const Json* it = Find(aKey);
  if (it == nullptr) {
    return out;
  }
  if (!it->is_object()) {
    AddError(ErrorCode::WrongType,
             aKey,
             "must be an object with string values; write { \"name\": \"...\" }");
    return out;
  }
  for (const auto& [key, value] : it->items()) {
    if (!value.is_string()) {
      AddError(ErrorCode::WrongType, std::string(aKey) + "/" + key, "must be a string in quotes");
      continue;
    }
    out.emplace_back(key, value.get<std::string>());
  }
  return out;
}

void JsonReader::Finish()
{
  if (!mObject.is_object()) {
    return;
  }
  for (const auto& [key, value] : mObject.items()) {
    if (std::find(mKnown.begin(), mKnown.end(), key) != mKnown.end()) {
      continue;
    }
    const auto nearest = FindNearestWord(key, mKnown);
    AddError(ErrorCode::UnknownKey,
             key,
             nearest.empty()
               ? std::string("is not a known key; remove it")
               : "is not a known key; did you mean \"" + std::string(nearest) + "\"?");
  }
}

} // namespace gentianloom
