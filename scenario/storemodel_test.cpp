#include "scenario/storemodel.h"

#include <boost/test/unit_test.hpp>

#include "core/head.h"

using namespace cactusdeck;
using namespace cactusdeck::scenario;
using namespace std::chrono_literals;

namespace {

struct StoreFixture
{
    Simulation simulation{ 1 };
    StoreModel store{ this->simulation };
    std::vector<StoreAnswer> answers;

    void call(StoreOperation operation, const std::string &value, std::uint64_t version)
    {
        this->store.execute({ .id = 1,
                              .operation = operation,
                              .key = std::string(headKey),
                              .value = value,
                              .version = version },
                            [this](const StoreAnswer &answer) { this->answers.push_back(answer); });
        this->simulation.runUntil(this->simulation.now() + 100ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreModelTest, StoreFixture)

// Guards against a store model that accepts a write based on an old version: scenarios would then
// not detect that a change was overwritten.
BOOST_AUTO_TEST_CASE(conditionalWriteConflicts)
{
    this->call(StoreOperation::Put, "a", 0);
    this->call(StoreOperation::Put, "b", 0);
    BOOST_REQUIRE_EQUAL(this->answers.size(), 2);
    BOOST_TEST((this->answers[1].status == StoreStatus::Conflict));
    BOOST_TEST(this->answers[1].version == 1);
    BOOST_TEST(this->store.value(std::string(headKey)) == "a");
}

// Guards against injected faults that have no effect, so that scenarios with them would test
// nothing.
BOOST_AUTO_TEST_CASE(faultsTakeEffect)
{
    this->call(StoreOperation::Put, "a", 0);
    this->store.lostAnswersLeft = 1;
    this->call(StoreOperation::Put, "b", 1);
    BOOST_TEST(this->answers.size() == 1);
    BOOST_TEST(this->store.value(std::string(headKey)) == "b");
    this->store.staleReadsLeft = 1;
    this->call(StoreOperation::Get, "", 0);
    BOOST_TEST(this->answers.back().value == "a");
    this->call(StoreOperation::Get, "", 0);
    BOOST_TEST(this->answers.back().value == "b");
    this->store.isDown = true;
    this->call(StoreOperation::Put, "c", 2);
    BOOST_TEST((this->answers.back().status == StoreStatus::Unavailable));
    BOOST_TEST(this->store.value(std::string(headKey)) == "b");
}

// Guards against a watch that is not answered when its object changes, which would delay the
// propagation of changes.
BOOST_AUTO_TEST_CASE(watchIsAnsweredOnChange)
{
    this->call(StoreOperation::Put, "a", 0);
    this->call(StoreOperation::Watch, "", 1);
    BOOST_TEST(this->answers.size() == 1);
    this->call(StoreOperation::Put, "b", 1);
    BOOST_REQUIRE_EQUAL(this->answers.size(), 3);
    BOOST_TEST(this->answers[2].value == "b");
    BOOST_TEST(this->answers[2].version == 2);
}

BOOST_AUTO_TEST_SUITE_END()
