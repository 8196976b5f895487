#include "core/contract.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

#include "core/fakestore_test.h"

using namespace cactusdeck;
using nlohmann::json;

namespace {

std::string fileText(const std::string &path)
{
    std::ifstream file(std::string(CACTUSDECK_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string faultOf(const json &value)
{
    return errorOf([&] { return parseContract(value.dump(), "a.json"); });
}

// Returns the error message for a valid contract in which one key is set to the value.
std::string faultWith(const char *key, const json &value)
{
    json contract = json::parse(contractJson("booking", 10));
    contract[key] = value;
    return faultOf(contract);
}

} // namespace

BOOST_AUTO_TEST_SUITE(contract)

// Guards against a schema file that differs from the schema that is enforced.
BOOST_AUTO_TEST_CASE(embeddedSchemaIsTheFile)
{
    BOOST_TEST(fileText("schema/contract.schema.json") == contractSchemaText);
}

BOOST_AUTO_TEST_CASE(exampleFileIsValid)
{
    const ServiceContract contract =
            parseContract(fileText("examples/contract.json"), "example").value();
    BOOST_TEST(contract.service.value == "booking");
    BOOST_TEST(toString(contract.addresses.at(0)) == "198.51.100.10:443/tcp");
    BOOST_TEST(contract.slots == 5u);
    BOOST_TEST((contract.idleTimeout == std::chrono::hours(4)));
    BOOST_TEST((contract.requestDeadline == std::chrono::seconds(10)));
    BOOST_TEST((contract.id == serviceIdOf(contract.service)));
}

// Guards against a published text that parses to a different contract or gets a different hash.
BOOST_AUTO_TEST_CASE(canonicalTextReadsBackEqual)
{
    const ServiceContract contract = testContract("booking", 10);
    const std::string text = contractText(contract);
    BOOST_TEST((parseContract(text, "b").value() == contract));
    BOOST_TEST(contractText(parseContract(text, "b").value()) == text);
    BOOST_TEST(contractHash(text).size() == 32u);
    BOOST_TEST(contractHash("") == "99aa06d3014798d86001c324468d497f"); // published test vector
}

// Guards against error messages from which the author of a file can't tell what to correct.
BOOST_AUTO_TEST_CASE(faultsNameFilePathValueAndExpectation)
{
    BOOST_TEST(faultWith("slots", 0)
               == "a.json: /slots: got 0, expected requests in progress for each backend server, a "
                  "whole number from 1 to 100000");
    BOOST_TEST(faultWith("slot", 3)
               == "a.json: /slot: got 3, expected only keys that the schema defines");
    BOOST_TEST(faultWith("addresses", { "198.51.100.10:443/tcp", "198.51.100.10/tcp" })
                       .starts_with("a.json: /addresses/1: got \"198.51.100.10/tcp\", expected "
                                    "IPv4 address"));
    BOOST_TEST(faultWith("service", "Booking").starts_with("a.json: /service: got \"Booking\""));
    BOOST_TEST(faultWith("idempotent", "no").starts_with("a.json: /idempotent: got \"no\""));
    BOOST_TEST(faultWith("slots", 2.5).starts_with("a.json: /slots: got 2.5"));
    BOOST_TEST(faultWith("slots", -1).starts_with("a.json: /slots: got -1"));
    BOOST_TEST(faultWith("slots", 4294967297ull).starts_with("a.json: /slots: got 4294967297"));
    BOOST_TEST(faultWith("groups", json::array()).starts_with("a.json: /groups: got []"));
    json two = json::parse(contractJson("booking", 10));
    two.erase("owner");
    two["coldSlots"] = 0;
    const std::string both = faultOf(two);
    BOOST_TEST(both.find("/owner: missing, expected the team") != std::string::npos);
    BOOST_TEST(both.find("\na.json: /coldSlots: got 0") != std::string::npos);
}

// Guards against silently using the last one of two equal keys, and against accepting text that is
// no JSON object.
BOOST_AUTO_TEST_CASE(textThatIsNoSingleObjectIsRefused)
{
    const auto fault = [](const std::string &text) {
        return errorOf([&] { return parseContract(text, "a.json"); });
    };
    std::string twice = contractJson("booking", 10);
    twice.insert(1, "\"slots\": 50,");
    BOOST_TEST(fault(twice) == "a.json: /slots: given twice, expected once");
    BOOST_TEST(fault("{\"service\": ").starts_with("a.json: /: not JSON: parse error at line 1"));
    BOOST_TEST(fault("[]").starts_with("a.json: /: got [], expected an object"));
    BOOST_TEST(fault("").starts_with("a.json: /: not JSON"));
}

// Guards against contracts with values that contradict each other, so that a backend server or the
// data path could not comply with them.
BOOST_AUTO_TEST_CASE(contradictionsInOneContractAreRefused)
{
    BOOST_TEST(faultWith("coldSlots", 6)
               == "a.json: /coldSlots: got 6, expected at most slots, which is 5");
    BOOST_TEST(faultWith("connections", 4).starts_with("a.json: /connections: got 4"));
    // A duplicated UDP request is executed twice, so the service must tolerate it.
    BOOST_TEST(faultWith("addresses", { "198.51.100.10:53/udp" })
                       .starts_with("a.json: /idempotent: got false, expected true"));
    BOOST_TEST(faultWith("addresses", { "198.51.100.10:443/tcp", "198.51.100.10:443/tcp" })
                       .starts_with("a.json: /addresses/1"));
    BOOST_TEST(faultWith("addresses", { "198.51.100.10:0/tcp" }).starts_with("a.json: /addresses"));
    BOOST_TEST(faultWith("groups", { "g", "g" }).starts_with("a.json: /groups/1"));
}

// Guards against two contracts that match the same packets or have the same service name or id.
BOOST_AUTO_TEST_CASE(contradictionsBetweenContractsAreRefused)
{
    const auto fault = [](const std::vector<ServiceContract> &contracts) {
        return errorOf([&] { return checkContracts(contracts); });
    };
    const ServiceContract booking = testContract("booking", 10);
    BOOST_TEST(fault({ booking, testContract("ticket", 11) }).empty());
    BOOST_TEST(fault({ booking, booking })
               == "contracts: /service: got \"booking\" in two "
                  "contracts, expected one");
    BOOST_TEST(
            fault({ booking, testContract("ticket", 10) })
            == "contracts: /addresses: got \"198.51.100.10:443/tcp\" in services \"booking\" and "
               "\"ticket\", expected it in one");
    ServiceContract ticket = testContract("ticket", 11);
    ticket.id = booking.id; // stands in for a hash collision between two names
    BOOST_TEST(fault({ booking, ticket }).find("identifiers are equal") != std::string::npos);
    // The same endpoint with another protocol counts as a different address.
    ServiceContract udp = testContract("ticket", 10);
    udp.addresses[0].protocol = Protocol::Udp;
    BOOST_TEST(fault({ booking, udp }).empty());
}

BOOST_AUTO_TEST_SUITE_END()
