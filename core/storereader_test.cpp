#include "core/storereader.h"

#include <boost/test/unit_test.hpp>

#include "core/fakestore_test.h"

using namespace cactusdeck;
using namespace std::chrono_literals;

namespace {

// A node that reads configurations from the store.
struct Node
{
    FakeStore &store;
    TimePoint now{ 1h };
    StoreCalls calls{ { .seed = 7 } };
    StoreReader reader{ calls };
    Outbox outbox;
    ConfigurationPointer current = Configuration::empty({});
    std::vector<ConfigurationVersion> versions; // in the order of adoption
    std::map<std::string, int> events;

    explicit Node(FakeStore &fake)
        : store(fake)
    {
        this->reader.setActive(true, this->now, this->outbox);
    }
    void adopt(ConfigurationPointer found)
    {
        if (!found)
            return;
        this->current = std::move(found);
        this->versions.push_back(this->current->version());
    }
    void run(Duration time)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += 10ms) {
            this->store.executeCalls(this->outbox, this->now);
            for (const StoreAnswer &answer : this->store.answers(this->now))
                this->adopt(this->reader.onAnswer(answer, this->now, this->outbox));
            this->adopt(this->reader.onTimer(this->now, this->outbox));
            for (const Event &event : std::exchange(this->outbox.events, {}))
                ++this->events[event.name];
        }
    }
};

using Services = std::map<std::string, int>; // name and slots

// Writes a version as the publisher does, but without the service object of `leaveOut`.
void publish(FakeStore &store, ConfigurationVersion version, const Services &services,
             const std::string &leaveOut = {})
{
    ConfigurationHead head;
    addChange(head, { version, std::to_string(version) + "c", "ann", 1000ms, "change" });
    int index = 1;
    for (const auto &[name, slots] : services) {
        const std::string text = contractText(testContract(name, index++, slots));
        const std::string hash = head.services[ServiceName{ name }] = contractHash(text);
        if (name != leaveOut)
            store.put(serviceKey(ServiceName{ name }, hash), text);
    }
    store.put(std::string(headKey), headText(head));
}

} // namespace

BOOST_AUTO_TEST_SUITE(storereader)

BOOST_AUTO_TEST_CASE(readsAndWatches)
{
    FakeStore store;
    Node node(store);
    node.run(1s); // nothing published yet
    publish(store, 1, { { "a", 5 }, { "b", 5 } });
    node.run(300ms);
    BOOST_TEST(node.current->version() == 1u);
    BOOST_TEST(node.current->contracts().size() == 2u);
    const int callsBefore = store.calls;
    publish(store, 2, { { "a", 5 }, { "b", 6 } });
    node.run(300ms);
    BOOST_TEST(node.current->find(ServiceName{ "b" })->slots == 6u);
    BOOST_TEST(store.calls - callsBefore == 2); // the changed object, and the next watch
    const int callsIdle = store.calls;
    node.run(100s);
    BOOST_TEST(store.calls - callsIdle <= 11); // a watch takes 10 s
}

// Guards against reverting to an older version because a read or a watch returns an old head, and
// against a loop of watches that are answered at once.
BOOST_AUTO_TEST_CASE(staleReadsNeverRevert)
{
    FakeStore store;
    publish(store, 1, { { "a", 5 } });
    publish(store, 2, { { "a", 6 } });
    Node node(store);
    node.run(1s);
    BOOST_TEST(node.current->version() == 2u);
    node.reader.setActive(false, node.now, node.outbox);
    store.staleReads = 3;
    node.reader.setActive(true, node.now, node.outbox);
    node.run(2s);
    store.staleWatches = true;
    const int callsOfLoop = store.calls;
    node.run(20s);
    BOOST_TEST(store.calls - callsOfLoop < 60); // 1,000 without a backoff
    store.staleWatches = false;
    publish(store, 1, { { "a", 5 } }); // as after restoring a backup
    const int callsBefore = store.calls;
    node.run(20s);
    BOOST_TEST(store.calls - callsBefore < 40);
    BOOST_TEST((node.versions == std::vector<ConfigurationVersion>{ 2 }));
    publish(store, 3, { { "a", 7 } });
    node.run(2s);
    BOOST_TEST((node.versions == std::vector<ConfigurationVersion>{ 2, 3 }));
}

// Guards against returning a version whose service objects can't all be read yet.
BOOST_AUTO_TEST_CASE(incompleteVersionIsNotReturned)
{
    FakeStore store;
    publish(store, 1, { { "a", 5 }, { "b", 5 } });
    Node node(store);
    node.run(500ms);
    publish(store, 2, { { "a", 6 }, { "b", 6 } }, "b");
    const int callsBefore = store.calls;
    node.run(10s);
    BOOST_TEST(node.current->version() == 1u);
    BOOST_TEST(node.current->find(ServiceName{ "a" })->slots == 5u);
    BOOST_TEST(store.calls - callsBefore < 30); // retries back off
    // A later version that is complete is returned without delay.
    publish(store, 3, { { "a", 6 }, { "b", 7 } });
    node.run(2s);
    BOOST_TEST(node.current->version() == 3u);
}

// Guards against adopting a damaged service object, a malformed head or an invalid contract, and
// against not reading later versions after one of these.
BOOST_AUTO_TEST_CASE(malformedObjectsAreRefused)
{
    FakeStore store;
    publish(store, 1, { { "a", 5 } });
    Node node(store);
    node.run(500ms);
    store.put("config/head", "{\"version\": 9}");
    node.run(3s);
    BOOST_TEST(node.events["configuration_refused"] == 1);
    publish(store, 2, { { "a", 6 } }, "a");
    const std::string text = contractText(testContract("a", 1, 6));
    const std::string key = serviceKey(ServiceName{ "a" }, contractHash(text));
    store.put(key, text.substr(0, text.size() / 2));
    node.run(3s);
    BOOST_TEST(node.current->version() == 1u);
    store.put(key, text);
    node.run(2s);
    BOOST_TEST(node.current->version() == 2u);
    // The content matches the hash but is no valid contract.
    ConfigurationHead head;
    addChange(head, { 3, "bad", "ann", 1000ms, "change" });
    head.services[ServiceName{ "a" }] = contractHash("{}");
    store.put(serviceKey(ServiceName{ "a" }, contractHash("{}")), "{}");
    store.put("config/head", headText(head));
    node.run(3s);
    BOOST_TEST(node.current->version() == 2u);
    publish(store, 4, { { "a", 8 } });
    node.run(3s);
    BOOST_TEST(node.current->version() == 4u);
}

// Guards against readers that stop permanently or call the store too often when it is unreachable
// or slow.
BOOST_AUTO_TEST_CASE(readerRecoversFromOutageAndSlowStore)
{
    FakeStore store;
    publish(store, 1, { { "a", 5 } });
    Node node(store);
    node.run(500ms);
    store.down = true;
    const int callsBefore = store.calls;
    node.run(60s);
    BOOST_TEST(store.calls - callsBefore < 180); // 1 s backoff with jitter
    BOOST_TEST(!node.reader.isStoreReachable());
    store.down = false;
    publish(store, 2, { { "a", 6 } });
    node.run(1500ms);
    BOOST_TEST(node.current->version() == 2u);
    BOOST_TEST(node.reader.isStoreReachable());
    // No answer at all, then answers after 5 s, which is longer than the first timeout.
    store.silent = true;
    node.run(30s);
    store.silent = false;
    store.delay = 5s;
    publish(store, 3, { { "a", 7 } });
    node.run(60s);
    BOOST_TEST(node.current->version() == 3u);
}

// Guards against missing versions when the reader changes: the new reader must catch up, and the
// former one must not act on late answers.
BOOST_AUTO_TEST_CASE(anotherReaderTakesOver)
{
    FakeStore store;
    publish(store, 1, { { "a", 5 } });
    Node first(store);
    first.run(500ms);
    FakeStore other = store;
    publish(other, 2, { { "a", 6 } });
    Node second(other);
    second.reader.setKnown(first.current);
    second.run(500ms);
    BOOST_TEST(second.current->version() == 2u);
    first.reader.setActive(false, first.now, first.outbox);
    publish(store, 2, { { "a", 6 } });
    first.run(20s);
    BOOST_TEST(first.current->version() == 1u);
}

// Guards against fetching and returning a version that the node has got from a peer meanwhile.
BOOST_AUTO_TEST_CASE(versionFromPeerEndsTheFetch)
{
    FakeStore store;
    publish(store, 1, { { "a", 5 } });
    Node peer(store);
    peer.run(500ms);
    FakeStore broken;
    publish(broken, 1, { { "a", 5 } }, "a");
    Node node(broken);
    node.run(500ms);
    node.reader.setKnown(peer.current);
    const int callsBefore = broken.calls;
    node.run(5s);
    BOOST_TEST(node.versions.empty());
    BOOST_TEST(broken.calls - callsBefore <= 1);
}

// Guards against a large first read that exceeds the limit on store calls.
BOOST_AUTO_TEST_CASE(firstReadStaysWithinTheCallBudget)
{
    FakeStore store;
    Services services;
    for (int i = 0; i < 250; ++i)
        services[std::to_string(i)] = 5;
    publish(store, 1, services);
    Node node(store);
    node.run(1s);
    BOOST_TEST(store.calls <= 150); // burst of 100, then 50 each second
    node.run(5s);
    BOOST_TEST(node.current->contracts().size() == 250u);
}

BOOST_AUTO_TEST_SUITE_END()
