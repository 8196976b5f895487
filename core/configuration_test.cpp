#include "core/configuration.h"

#include <boost/test/unit_test.hpp>

#include <random>

#include "core/fakestore_test.h"

using namespace cactusdeck;
using nlohmann::json;

namespace {

ChangeRecord record(ConfigurationVersion version)
{
    return { version, std::to_string(version) + "c", "ann", std::chrono::milliseconds(1000),
             "change" };
}

ConfigurationPointer build(ConfigurationVersion version,
                           const std::vector<ServiceContract> &contracts,
                           std::map<ZoneName, ZoneState> zones = {})
{
    ConfigurationHead head;
    for (ConfigurationVersion v = 1; v <= version; ++v)
        addChange(head, record(v));
    head.zones = std::move(zones);
    std::vector<ContractPointer> published;
    for (const ServiceContract &contract : contracts) {
        const std::string text = contractText(contract);
        const std::string hash = head.services[contract.service] = contractHash(text);
        published.push_back(parsePublished(text, contract.service, hash).value());
    }
    return Configuration::build(head, published).value();
}

// The delta as the receiver gets it, after encoding and decoding.
ConfigurationDelta sent(const ConfigurationDelta &delta)
{
    return std::get<ConfigurationDelta>(decodeMessage(encodeMessage(delta)).value());
}

const ServiceContract a = testContract("a", 1);
const ServiceContract a2 = testContract("a", 1, 7);
const ServiceContract b = testContract("b", 2);
const ServiceContract c = testContract("c", 3);
const GroupName groupA{ "a-group" };

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(lookups)
{
    const auto configuration = build(3, { b, a }, { { ZoneName{ "z1" }, ZoneState::Out } });
    BOOST_TEST(configuration->version() == 3u);
    BOOST_TEST(configuration->find(a.service)->slots == 5u);
    BOOST_TEST((configuration->find(b.id)->service == b.service));
    BOOST_TEST((configuration->find(a.addresses[0].endpoint, Protocol::Tcp)->service == a.service));
    BOOST_TEST(!configuration->find(a.addresses[0].endpoint, Protocol::Udp));
    BOOST_TEST(!configuration->find(c.service));
    BOOST_TEST(configuration->servicesOf(groupA).size() == 1u);
    BOOST_TEST(configuration->servicesOf(GroupName{ "a" }).empty());
    BOOST_TEST(configuration->isZoneOut(ZoneName{ "z1" }));
    BOOST_TEST(!configuration->isZoneOut(ZoneName{ "z2" }));
}

// Guards against adopting a head that is truncated, edited by hand or written by another program.
BOOST_AUTO_TEST_CASE(malformedHeadsAreRefused)
{
    const ConfigurationHead good = build(3, { a })->head();
    BOOST_TEST((parseHead(headText(good)).value() == good));
    const auto fault = [&](const char *pointer, const json &value) {
        json head = toJson(good, true);
        if (value.is_discarded())
            head.erase(pointer + 1);
        else
            head[json::json_pointer(pointer)] = value;
        return errorOf([&] { return parseHead(head.dump()); });
    };
    const json removed(json::value_t::discarded);
    for (const char *key : { "/version", "/changeId", "/changes", "/services", "/zones" })
        BOOST_TEST(fault(key, removed) == std::string("config/head: ") + key + ": missing");
    BOOST_TEST(fault("/version", 0) != "");
    BOOST_TEST(fault("/version", -4) != "");
    BOOST_TEST(fault("/version", "3") != "");
    BOOST_TEST(fault("/version", 4).find("/changes") != std::string::npos);
    BOOST_TEST(fault("/changes", json::array()) != "");
    BOOST_TEST(fault("/changes/0/version", 2).find("ascending") != std::string::npos);
    BOOST_TEST(fault("/changes/2/author", 7) != "");
    BOOST_TEST(fault("/services/a", { { "hash", "12" } }).find("32 hex") != std::string::npos);
    BOOST_TEST(fault("/services/a", "x") != "");
    BOOST_TEST(fault("/zones/z", "off").find("expected in or out") != std::string::npos);
    BOOST_TEST(fault("/other", 1) == "config/head: /other: unknown key");
    BOOST_TEST(errorOf([&] { return parseHead(headText(good).substr(0, 40)); })
               == "config/head: not JSON");
}

// Guards against adopting a service object whose content doesn't match its hash or its service
// name.
BOOST_AUTO_TEST_CASE(serviceObjectsAreVerified)
{
    const std::string text = contractText(a);
    const auto fault = [](const std::string &value, const char *service, const std::string &hash) {
        return errorOf([&] { return parsePublished(value, ServiceName{ service }, hash); });
    };
    BOOST_TEST(fault(text, "a", contractHash(text)).empty());
    BOOST_TEST(fault(text + " ", "a", contractHash(text)).find("another hash")
               != std::string::npos);
    BOOST_TEST(fault(text, "b", contractHash(text)).find("expected \"b\"") != std::string::npos);
    BOOST_TEST(fault("{}", "a", contractHash("{}")).find("/service: missing") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(deltaCarriesOnlyChangesAndYieldsTheSameConfiguration)
{
    const auto base = build(3, { a, b });
    const auto target = build(4, { a2, c }, { { ZoneName{ "z" }, ZoneState::Out } });
    const ConfigurationDelta delta = sent(deltaBetween(base.get(), *target, {}));
    BOOST_TEST(delta.contracts.size() == 2u);
    BOOST_TEST((delta.removed == std::vector<ServiceName>{ b.service }));
    const auto result = applyDelta(*base, delta).value();
    BOOST_TEST((result->head() == target->head()));
    BOOST_TEST(result->digest() == target->digest());
    BOOST_TEST(result->find(a.service)->slots == 7u);
    BOOST_TEST(!result->find(b.service));
    BOOST_TEST(encodeMessage(deltaBetween(base.get(), *build(4, { a, b }), {})).size() < 300u);
}

// Guards against an agent that gets contracts of services which its group may not host, or keeps a
// contract that no longer names its group.
BOOST_AUTO_TEST_CASE(restrictedDeltaFollowsTheGroup)
{
    const auto first = build(1, { a, b });
    ServiceContract moved = b;
    moved.groups = { groupA };
    ServiceContract lost = a;
    lost.groups = { GroupName{ "other" } };
    ConfigurationLog agent(groupA);
    BOOST_TEST(agent.apply(sent(deltaBetween(nullptr, *first, groupA))).value());
    BOOST_TEST(agent.current()->contracts().size() == 1u);
    const auto second = build(2, { lost, moved });
    BOOST_TEST(agent.apply(sent(deltaBetween(first.get(), *second, groupA))).value());
    BOOST_TEST(!agent.current()->find(a.service));
    BOOST_TEST(agent.current()->find(b.service));
    // A node that has only the services of its group must not answer a request without a group.
    BOOST_TEST(!agent.answer({ .have = 1 }).has_value());
    // A delta of the full configuration must not be applied to a restricted one.
    const auto third = build(3, { a });
    BOOST_TEST(!agent.apply(deltaBetween(second.get(), *third, {})));
    BOOST_TEST(agent.current()->version() == 2u);
}

// Guards against applying a delta that is for another base, is too old, is malformed, or gives a
// result that differs from the sender's configuration. A refused delta must not change anything.
BOOST_AUTO_TEST_CASE(unsuitableDeltasChangeNothing)
{
    ConfigurationLog log;
    BOOST_TEST(log.adopt(build(2, { a })));
    const auto before = log.current();
    const auto v3 = build(3, { a, b });
    const auto v4 = build(4, { a2, b, c });
    const auto refused = [&](const ConfigurationDelta &delta) {
        std::string message = errorOf([&] { return log.apply(delta); });
        BOOST_TEST((log.current() == before));
        return message;
    };
    BOOST_TEST(refused(deltaBetween(v3.get(), *v4, {})).find("for version 3, expected 2")
               != std::string::npos);
    ConfigurationDelta wrongBase = deltaBetween(v3.get(), *v4, {});
    wrongBase.from = 2; // without the digest check, service b would be missing
    BOOST_TEST(refused(wrongBase).find("differs") != std::string::npos);
    ConfigurationDelta delta = deltaBetween(before.get(), *v3, {});
    delta.to = 9;
    BOOST_TEST(refused(delta).find("head of another version") != std::string::npos);
    delta = deltaBetween(before.get(), *v3, {});
    delta.contracts[0]["slots"] = 0;
    BOOST_TEST(refused(delta).find("/slots") != std::string::npos);
    delta = deltaBetween(before.get(), *v3, {});
    delta.head = nullptr;
    BOOST_TEST(refused(delta) != "");
    BOOST_TEST(!log.apply(deltaBetween(nullptr, *build(1, { c }), {})).value());
    BOOST_TEST(!log.adopt(build(2, { c })));
    BOOST_TEST((log.current() == before));
}

// Guards against a corrupt datagram that crashes the process or is applied in part.
BOOST_AUTO_TEST_CASE(corruptDeltasAreRefusedAsAWhole)
{
    const auto base = build(2, { a });
    const auto target = build(3, { a2, b });
    const auto bytes = encodeMessage(deltaBetween(base.get(), *target, {}));
    std::mt19937_64 random(11);
    int decoded = 0;
    for (int round = 0; round < 3000; ++round) {
        auto damaged = bytes;
        for (int i = 0; i <= round % 3; ++i)
            damaged[random() % damaged.size()] = std::uint8_t(random());
        errorOf([&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, decodeMessage(damaged));
            const auto *delta = std::get_if<ConfigurationDelta>(&message);
            if (!delta)
                return {};
            ++decoded;
            BOOST_LEAF_AUTO(result, applyDelta(*base, *delta));
            BOOST_TEST(result->digest() == target->digest());
            return {};
        });
    }
    BOOST_TEST(decoded > 300);
}

BOOST_AUTO_TEST_CASE(logAnswersWithDeltaSnapshotOrNothingNew)
{
    ConfigurationLog log;
    for (ConfigurationVersion version = 1; version <= 100; ++version)
        log.adopt(build(version, { a, version % 2 ? b : c }));
    const auto recent = log.answer({ .have = 99 });
    BOOST_TEST(recent->from == 99u);
    BOOST_TEST(recent->contracts.size() == 1u);
    BOOST_TEST(log.answer({ .have = 36 })->from == 36u);
    BOOST_TEST(log.answer({ .have = 35 })->from == 0u); // beyond the history
    BOOST_TEST(log.answer({ .have = 35 })->contracts.size() == 2u);
    const auto current = log.answer({ .have = 100 });
    BOOST_TEST(current->from == 100u);
    BOOST_TEST(current->to == 100u);
    BOOST_TEST(log.current()->changes().size() == changeHistory);
}

BOOST_AUTO_TEST_SUITE_END()
