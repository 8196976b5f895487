#include "standin/objectstore.h"

#include <boost/test/unit_test.hpp>

#include <future>

#include "standin/http.h"

using namespace cactusdeck;

namespace {

struct StoreFixture
{
    ObjectStore store;
    HttpHost host;
    std::unique_ptr<httplib::Client> client;

    StoreFixture()
    {
        addStoreRoutes(this->host.server(), this->store);
        const Endpoint endpoint = leaf::try_handle_all(
                [&] {
                    return this->host.start({ 0x7F000001, 0 });
                },
                [] { return Endpoint(); });
        BOOST_REQUIRE(endpoint.port != 0);
        this->client = std::make_unique<httplib::Client>("127.0.0.1", endpoint.port);
    }

    httplib::Result put(const char *header, const char *value, const char *body)
    {
        return this->client->Put("/objects/config/head", { { header, value } }, body, "text/plain");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(objectstore, StoreFixture)

// Guards against lost updates: if two writers read the same version, the second write must fail.
BOOST_AUTO_TEST_CASE(conditionalWritesDetectConflicts)
{
    BOOST_TEST(client->Get("/objects/config/head")->status == 404);
    BOOST_TEST(put("If-None-Match", "*", "a")->get_header_value("ETag") == "\"1\"");
    BOOST_TEST(put("If-None-Match", "*", "b")->status == 412);
    BOOST_TEST(put("If-Match", "\"1\"", "c")->status == 200);
    const auto conflict = put("If-Match", "\"1\"", "d");
    BOOST_TEST(conflict->status == 412);
    BOOST_TEST(conflict->get_header_value("ETag") == "\"2\"");
    BOOST_TEST(put("If-Match", "soon", "d")->status == 400);
    const auto read = client->Get("/objects/config/head");
    BOOST_TEST(read->body == "c");
    BOOST_TEST(read->get_header_value("ETag") == "\"2\"");
}

// Guards against a lost answer that also loses the write: the write must take effect although the
// client gets no response.
BOOST_AUTO_TEST_CASE(lostAnswerTakesEffect)
{
    store.setFaults({ { "loseAnswers", 1 } });
    BOOST_TEST(!put("If-None-Match", "*", "a"));
    BOOST_TEST(client->Get("/objects/config/head")->body == "a");
    BOOST_TEST(put("If-Match", "\"1\"", "b")->status == 200);
}

BOOST_AUTO_TEST_CASE(staleReadsAndOutageOverHttp)
{
    BOOST_REQUIRE(put("If-None-Match", "*", "a"));
    BOOST_REQUIRE(put("If-Match", "\"1\"", "b"));
    BOOST_TEST(client->Post("/faults", R"({"staleReads": 1})", "application/json")->status == 200);
    const auto stale = client->Get("/objects/config/head");
    BOOST_TEST(stale->body == "a");
    BOOST_TEST(stale->get_header_value("ETag") == "\"1\"");
    BOOST_TEST(client->Get("/objects/config/head")->body == "b");
    client->Post("/faults", R"({"down": true})", "application/json");
    BOOST_TEST(!client->Get("/objects/config/head"));
    BOOST_TEST(!put("If-Match", "\"2\"", "c"));
    client->Post("/faults", R"({"down": false})", "application/json");
    BOOST_TEST(client->Get("/objects/config/head")->body == "b");
    BOOST_TEST(client->Post("/faults", R"({"down": 3})", "application/json")->status == 400);
}

// Guards against watches that miss a write made before or during the watch.
BOOST_AUTO_TEST_CASE(watchAnswersOnChange)
{
    const char *path = "/objects/config/head?watch=0&timeoutMilliseconds=30000";
    auto pending = std::async(std::launch::async, [&] { return client->Get(path)->body; });
    BOOST_REQUIRE((store.put("config/head", "a", 0).status == ObjectStatus::Ok));
    BOOST_TEST(pending.get() == "a");
    BOOST_TEST(client->Get(path)->body == "a");
    BOOST_TEST(client->Get("/objects/config/head?watch=1&timeoutMilliseconds=1")->status == 304);
}

BOOST_AUTO_TEST_SUITE_END()
