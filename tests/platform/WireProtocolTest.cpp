#include "platform/WireProtocol.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <string>

namespace gentianloom::platform {

class WireProtocolTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WireProtocolTest);
  CPPUNIT_TEST(TestConfiguration);
  CPPUNIT_TEST(TestMalformedConfigurations);
  CPPUNIT_TEST(TestWarmUpLimits);
  CPPUNIT_TEST(TestAllowedRegions);
  CPPUNIT_TEST(TestEndpoints);
  CPPUNIT_TEST(TestEndpointsWithOddFields);
  CPPUNIT_TEST(TestEndpointIds);
  CPPUNIT_TEST(TestEvacuatedZones);
  CPPUNIT_TEST(TestAddresses);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestConfiguration()
  {
    const auto decoded = mProtocol.DecodeConfiguration(R"({"version":7,"routes":[
      {"name":"r","host":"h","prefix":"/a/","kind":"streaming","timeout-ms":12000,
       "target-latency-ms":300,"priority":2,"service":"s","max-attempts":2,"session-affinity":true,
       "resumable":true,"target-gap-ms":200},
      {"name":"q","host":"h","prefix":"/b/","kind":"unknown","timeout-ms":1000,
       "backends":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
      "services":[{"name":"s","engine":{"slots":64,"kv-capacity-tokens":5000,"stride":5}},
       {"name":"t"}],
      "limits":{"max-header-bytes":100,"max-body-bytes":200,"header-timeout-ms":3,
       "idle-timeout-ms":4},
      "tenants":[{"name":"o","api-keys":["k"],"priority":1,"prepaid":900},
       {"name":"p","api-keys":[]}]})");
    const auto& it = decoded.value();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, it.mVersion);
    CPPUNIT_ASSERT(it.mRoutes[0].mKind == RouteKind::Streaming && it.mRoutes[0].mIsResumable);
    CPPUNIT_ASSERT(it.mRoutes[0].mTimeout == Millis(12'000));
    CPPUNIT_ASSERT_MESSAGE("an unknown kind is not idempotent",
                           it.mRoutes[1].mKind == RouteKind::AtMostOnce);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, it.mRoutes[1].mServices.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, it.mServices.at("s").mEngine->mTokensPerEvent);
    CPPUNIT_ASSERT(!it.mServices.at("t").mEngine);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 200 }, it.mLimits.mMaxBodyBytes);
    // mAccountByKey holds the index of the account in mAccounts.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, it.mAccountByKey.at("k"));
    CPPUNIT_ASSERT(it.mAccounts[0].mPrepaid == 900 && !it.mAccounts[1].mPrepaid);
  }

  void TestMalformedConfigurations()
  {
    for (const auto* text : { "",
                              "[]",
                              "{}",
                              R"({"version":1,"routes":[{}],"services":[]})",
                              R"({"version":"x","routes":[],"services":[]})" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !mProtocol.DecodeConfiguration(text));
    }
  }

  // A number that makes no sense must not keep the rest of a configuration from applying.
  void TestWarmUpLimits()
  {
    struct Row
    {
      std::string mFields;
      std::optional<double> mLimit;
      Millis mTime;
    };
    const Row rows[] = {
      { "", std::nullopt, Millis(0) },
      { R"(,"cold-per-s":12,"cold-start-s":8.5)", 12, Millis(8'500) },
      { R"(,"cold-per-s":0.5)", 0.5, Millis(0) },
      { R"(,"cold-per-s":0,"cold-start-s":8)", std::nullopt, Millis(8'000) },
      { R"(,"cold-per-s":-1,"cold-start-s":-1)", std::nullopt, Millis(0) },
      { R"(,"cold-per-s":"12","cold-start-s":null)", std::nullopt, Millis(0) },
      { R"(,"cold-per-s":1e300,"cold-start-s":1e300)", std::nullopt, Millis(0) },
      { R"(,"cold-per-s":[12],"cold-start-s":8)", std::nullopt, Millis(8'000) }
    };
    for (const auto& row : rows) {
      const auto decoded =
        mProtocol.DecodeConfiguration(R"({"version":1,"routes":[],"services":[{"name":"s")" +
                                      row.mFields + R"(},{"name":"t"}]})");
      CPPUNIT_ASSERT_MESSAGE(row.mFields, decoded && decoded.value().mServices.contains("t"));
      const auto& service = decoded.value().mServices.at("s");
      CPPUNIT_ASSERT_MESSAGE(row.mFields, service.mWarmUpLimit == row.mLimit);
      CPPUNIT_ASSERT_MESSAGE(row.mFields, service.mWarmUpTime == row.mTime);
      const auto limits = RouteTable::Create(decoded.value())->WarmUpLimits();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mFields, std::size_t{ row.mLimit ? 1U : 0U }, limits.size());
    }
  }

  // A malformed list of regions must not let requests out of their region.
  void TestAllowedRegions()
  {
    using List = std::vector<std::string>;
    struct Row
    {
      std::string mField;
      AllowedRegions mRegions;
      bool mIsMalformed = false;
    };
    const Row rows[] = { { "", std::nullopt },
                         { R"(,"allowed-regions":[])", std::nullopt },
                         { R"(,"allowed-regions":null)", std::nullopt },
                         { R"(,"allowed-regions":["a","b"])", List{ "a", "b" } },
                         { R"(,"allowed-regions":["a",4,null,""])", List{ "a" }, true },
                         { R"(,"allowed-regions":[4])", List{}, true },
                         { R"(,"allowed-regions":"a")", List{}, true },
                         { R"(,"allowed-regions":{"a":1})", List{}, true },
                         { R"(,"allowed-regions":false)", List{}, true } };
    for (const auto& row : rows) {
      const auto decoded = mProtocol.DecodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"safe","timeout-ms":1,)"
        R"("service":"s")" +
        row.mField + R"(}],"services":[],"tenants":[{"name":"o","api-keys":["k"])" + row.mField +
        "}]}");
      CPPUNIT_ASSERT_MESSAGE(row.mField, decoded);
      const auto& it = decoded.value();
      CPPUNIT_ASSERT_MESSAGE(row.mField, it.mRoutes[0].mAllowedRegions == row.mRegions);
      CPPUNIT_ASSERT_MESSAGE(row.mField, it.mAccounts[0].mAllowedRegions == row.mRegions);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mField, std::size_t{ row.mIsMalformed ? 2U : 0U }, it.mProblems.size());
    }
  }

  // Other programs write the entries. A malformed one must give an error, not an endpoint with
  // default values.
  void TestEndpoints()
  {
    const std::string good =
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":64,)"
      R"("state":"ready","cold-remaining-ms":0,"sequence":4,"born":99})";
    const auto entry = mProtocol.DecodeEndpoint("i-1", good).value();
    CPPUNIT_ASSERT(entry.mId == "i-1" && !entry.mIsLeaving && entry.mStartedAt == 99);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), entry.mSoftwareVersion);
    const auto with = [&good](const std::string& aFrom, const std::string& aTo) {
      auto out = good;
      return out.replace(out.find(aFrom), aFrom.size(), aTo);
    };
    CPPUNIT_ASSERT(entry.mWarmUpRemaining == Millis(0));
    CPPUNIT_ASSERT(!mProtocol.DecodeEndpoint("i-1", with("cold-remaining-ms", "other")));
    CPPUNIT_ASSERT(mProtocol.DecodeEndpoint("i-1", with("ready", "draining")).value().mIsLeaving);
    const std::string bad[] = { "",
                                "\xff\xfe",
                                "[]",
                                "{}",
                                with("\"ready\"", "\"asleep\""),
                                with("\"ready\"", "4"),
                                with("10.1.2.3:80", "nowhere"),
                                with("64", "\"many\""),
                                with("\"s\"", "\"\""),
                                with("\"zone\"", "\"area\""),
                                with("\"version\"", "\"weights\""),
                                with("\"v1\"", "1"),
                                with("\"v1\"", "\"\"") };
    for (const auto& it : bad) {
      CPPUNIT_ASSERT_MESSAGE(it, !mProtocol.DecodeEndpoint("i-1", it));
    }
  }

  // An entry of another program that lacks a field brought an endpoint back that was leaving.
  void TestEndpointsWithOddFields()
  {
    const nlohmann::json good = { { "service", "s" }, { "address", "10.1.2.3:80" },
                                  { "zone", "z" },    { "version", "v1" },
                                  { "slots", 64 },    { "state", "ready" },
                                  { "sequence", 4 },  { "cold-remaining-ms", 0 },
                                  { "born", 99 } };
    CPPUNIT_ASSERT(mProtocol.DecodeEndpoint("i-1", good.dump()));
    const nlohmann::json odd[] = {
      nullptr, true, -1, 1.5, "", nlohmann::json::array(), nlohmann::json::object()
    };
    for (const auto& [key, value] : good.items()) {
      auto entry = good;
      entry.erase(key);
      const bool isOptional = key == "born";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "without " + key, isOptional, mProtocol.DecodeEndpoint("i-1", entry.dump()).has_value());
      for (const auto& it : odd) {
        entry[key] = it;
        const bool isText = key == "zone" && it == "";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          entry.dump(), isText, mProtocol.DecodeEndpoint("i-1", entry.dump()).has_value());
      }
    }
  }

  // A sound entry of another writer got requests, with its name in a header.
  void TestEndpointIds()
  {
    struct Row
    {
      std::string mId;
      bool mIsUsable;
    };
    const Row rows[] = {
      { "i-7f3a91c2", true }, { "W.1_x~y", true },    { "10.1.0.40:8721", true },
      { "a@b", true },        { "7", true },          { std::string(192, 'w'), true },
      { "", false },          { ".", false },         { "..", false },
      { "-a", false },        { "a b", false },       { "a ", false },
      { " a", false },        { "a\tb", false },      { "a\r\nX-Model: n", false },
      { "&x", false },        { "a+x", false },       { "a#x", false },
      { "a%x", false },       { "a%20x", false },     { "a?x", false },
      { "a/b", false },       { "a=b", false },       { "a;b", false },
      { "a,b", false },       { "a\"b", false },      { "a\\b", false },
      { "\xc3\xa9", false },  { "a\xc3\xa9", false }, { std::string("a\0", 2), false }
    };
    const std::string entry =
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":64,)"
      R"("state":"ready","cold-remaining-ms":0,"sequence":4})";
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mId, row.mIsUsable, mProtocol.DecodeEndpoint(row.mId, entry).has_value());
    }
  }

  // A malformed key among those of the operators must evacuate nothing, and other kinds of keys are
  // no error.
  void TestEvacuatedZones()
  {
    const std::string longest(200, 'z');
    struct Row
    {
      std::string mKey;
      std::string mZone; ///< empty: the key evacuates none
      bool mIsMalformed = false;
    };
    const Row rows[] = { { "op/evacuate/z-a", "z-a" },
                         { "op/evacuate/" + longest, longest },
                         { "op/evacuate/" + longest + "z", "", true },
                         { "op/evacuate/", "", true },
                         { "op/evacuate/a/b", "a/b" },
                         { "op/evacuate", "" },
                         { "op/config", "" },
                         { "op/unknown/z-a", "" } };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_MESSAGE(row.mKey, row.mKey.starts_with(mProtocol.OperatorPrefix()));
      const auto zone = mProtocol.DecodeEvacuatedZone(row.mKey);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mKey, row.mIsMalformed, zone.has_error());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mKey, row.mZone, zone ? zone.value().value_or("") : std::string());
    }
  }

  void TestAddresses()
  {
    struct Row
    {
      std::string mTarget;
      std::string mHost;
      std::string mRegion;
      std::string mZone;
    };
    const Row rows[] = { { "/resolve?name=h&region=r&zone=z-a", "h", "r", "z-a" },
                         { "/resolve?zone=z&name=H.Example:80", "h.example", "", "z" },
                         { "/resolve?name=zone=q", "zone=q", "", "" },
                         { "/resolve?region=&zone=&name=", "", "", "" },
                         { "/resolve?region=r&region=s", "", "r", "" },
                         { "/resolve?name=h%2Eexample%3A80&zone=a%20b", "h.example", "", "a b" },
                         { "/resolve?zone=a+b&region=r%2Bs%26t%3Du", "", "r+s&t=u", "a b" },
                         { "/resolve?zone=%C3%A9&region=a%2", "", "a%2", "\xc3\xa9" },
                         { "/resolve?zone=%zz&z%6Fne=y&region=%", "", "%", "%zz" },
                         { "/resolve?z%6Fne=y&&=&region", "", "", "y" },
                         { "/resolve", "", "", "" },
                         { "/resolve?", "", "", "" } };
    for (const auto& row : rows) {
      const auto query = mProtocol.DecodeAddressQuery(row.mTarget);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mTarget, row.mHost, query.mHost);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mTarget, row.mRegion, query.mRegion);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mTarget, row.mZone, query.mZone);
    }
    const std::string list[] = { "10.0.0.1:1" };
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"addresses":["10.0.0.1:1"],"ttl-s":1.5})"),
                         mProtocol.EncodeAddresses(list, Millis(1'500)));
  }

private:
  WireProtocol mProtocol;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireProtocolTest);

} // namespace gentianloom::platform
