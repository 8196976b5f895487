#include "node/storeclient.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

#include <httplib.h>

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

// An object store with one object, which can be set to fail or not to answer.
class FakeStore
{
public:
    FakeStore()
    {
        this->server.Get("/objects/(.*)", [this](const auto &request, auto &answer) {
            this->onGet(request, answer);
        });
        this->server.Put("/objects/(.*)", [this](const auto &request, auto &answer) {
            this->onPut(request, answer);
        });
        this->endpoint = { 0x7F000001, std::uint16_t(this->server.bind_to_any_port("127.0.0.1")) };
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running())
            std::this_thread::yield();
    }
    ~FakeStore()
    {
        this->release.set_value();
        this->server.stop();
        this->thread.join();
    }

    Endpoint endpoint;
    std::atomic<int> version{ 1 };
    std::atomic<int> puts{ 0 };
    std::atomic<bool> hangRequests{ false }; // requests wait until the store is destroyed
    std::atomic<int> status{ 0 }; // answer to every request, if not 0
    std::string target; // of the last request

private:
    // Returns true if a fault is set, which is then the answer.
    bool applyFault(httplib::Response &answer)
    {
        if (this->hangRequests)
            this->released.wait();
        answer.status = this->status;
        return this->hangRequests || this->status != 0;
    }

    void onGet(const httplib::Request &request, httplib::Response &answer)
    {
        this->target = request.target;
        if (this->applyFault(answer))
            return;
        const std::string tag = std::to_string(this->version);
        if (request.get_param_value("watch") == tag) {
            answer.status = 304;
            return;
        }
        if (request.matches[1] != "config/head") {
            answer.status = 404;
            return;
        }
        answer.set_header("ETag", '"' + tag + '"');
        answer.set_content("value", "application/json");
        answer.status = 200;
    }

    void onPut(const httplib::Request &request, httplib::Response &answer)
    {
        ++this->puts;
        if (this->applyFault(answer))
            return;
        const std::string tag = '"' + std::to_string(this->version) + '"';
        const bool matches = request.get_header_value("If-Match") == tag;
        answer.status = matches ? 200 : 412;
        if (matches)
            ++this->version;
        answer.set_header("ETag", '"' + std::to_string(this->version) + '"');
    }

    httplib::Server server;
    std::thread thread;
    std::promise<void> release;
    std::shared_future<void> released = this->release.get_future();
};

StoreCall callOf(StoreOperation operation, std::uint64_t version = 0)
{
    return {
        .id = 7, .operation = operation, .key = "config/head", .value = "new", .version = version
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(storeClient)

BOOST_AUTO_TEST_CASE(readsValueVersionAndAbsence)
{
    FakeStore store;
    StoreClient client({ .store = store.endpoint });
    const StoreAnswer found = client.call(callOf(StoreOperation::Get));
    BOOST_TEST((found.status == StoreStatus::Ok));
    BOOST_TEST(found.id == 7u);
    BOOST_TEST(found.value == "value");
    BOOST_TEST(found.version == 1u);
    const StoreAnswer absent = client.call({ .operation = StoreOperation::Get, .key = "x" });
    BOOST_TEST((absent.status == StoreStatus::NotFound));
    BOOST_TEST(absent.version == 0u);
}

// Guards against lost updates: a Put with the wrong version must fail and report the current one.
BOOST_AUTO_TEST_CASE(putIsConditional)
{
    FakeStore store;
    StoreClient client({ .store = store.endpoint });
    const StoreAnswer written = client.call(callOf(StoreOperation::Put, 1));
    BOOST_TEST((written.status == StoreStatus::Ok));
    BOOST_TEST(written.version == 2u);
    for (const std::uint64_t version : { 0, 1 }) {
        const StoreAnswer lost = client.call(callOf(StoreOperation::Put, version));
        BOOST_TEST((lost.status == StoreStatus::Conflict));
        BOOST_TEST(lost.version == 2u);
    }
}

// Guards against a watch without a change that is reported as a failure.
BOOST_AUTO_TEST_CASE(watchReportsChangeOrTheSameVersion)
{
    FakeStore store;
    StoreClient client({ .store = store.endpoint, .watchTimeout = 1234ms });
    const StoreAnswer same = client.call(callOf(StoreOperation::Watch, 1));
    BOOST_TEST((same.status == StoreStatus::Ok));
    BOOST_TEST(same.version == 1u);
    BOOST_TEST(store.target == "/objects/config/head?watch=1&timeoutMilliseconds=1234");
    const StoreAnswer changed = client.call(callOf(StoreOperation::Watch, 5));
    BOOST_TEST(changed.version == 1u);
    BOOST_TEST(changed.value == "value");
}

// Guards against a write that is executed twice, or reported as failed although it may have taken
// effect. If there is no answer, the client must report Timeout and must not repeat the call.
BOOST_AUTO_TEST_CASE(putWithoutAnswerTimesOutAndIsNotRepeated)
{
    FakeStore store;
    store.hangRequests = true;
    StoreClient client({ .store = store.endpoint, .readTimeout = 50ms });
    const StoreAnswer answer = client.call(callOf(StoreOperation::Put, 1));
    BOOST_TEST((answer.status == StoreStatus::Timeout));
    BOOST_TEST(store.puts == 1);
}

BOOST_AUTO_TEST_CASE(httpErrorsAreMappedToStoreStatuses)
{
    FakeStore store;
    StoreClient client({ .store = store.endpoint });
    store.status = 503;
    BOOST_TEST((client.call(callOf(StoreOperation::Put)).status == StoreStatus::Unavailable));
    BOOST_TEST((client.call(callOf(StoreOperation::Get)).status == StoreStatus::Unavailable));
    store.status = 500;
    BOOST_TEST((client.call(callOf(StoreOperation::Put)).status == StoreStatus::Timeout));
    BOOST_TEST((client.call(callOf(StoreOperation::Get)).status == StoreStatus::Unavailable));
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsUnavailable)
{
    Endpoint closed;
    {
        const FakeStore store;
        closed = store.endpoint;
    }
    StoreClient client({ .store = closed });
    BOOST_TEST((client.call(callOf(StoreOperation::Put)).status == StoreStatus::Unavailable));
}

// Guards against a daemon that can't stop while a store call is in progress.
BOOST_AUTO_TEST_CASE(cancelEndsCallsInProgress)
{
    FakeStore store;
    store.hangRequests = true;
    StoreClient client({ .store = store.endpoint, .readTimeout = 1h });
    auto pending = std::async(std::launch::async,
                              [&] { return client.call(callOf(StoreOperation::Put, 1)); });
    while (store.puts == 0)
        std::this_thread::yield();
    client.cancel();
    BOOST_TEST((pending.get().status == StoreStatus::Timeout));
    BOOST_TEST((client.call(callOf(StoreOperation::Get)).status == StoreStatus::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
