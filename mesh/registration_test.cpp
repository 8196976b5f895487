#include "mesh/registration.h"

#include <boost/test/unit_test.hpp>

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

namespace {

using Call = Registration::Call;
using Outcome = Registration::Outcome;

struct Fixture
{
    // Returns the first call within the time.
    std::optional<Call> nextCall(Duration within = 10s)
    {
        for (const TimePoint end = this->now + within; this->now < end; this->now += 100ms) {
            if (const auto call = this->registration.takeCall(this->era, this->now))
                return call;
        }
        return std::nullopt;
    }
    void registerNode()
    {
        BOOST_REQUIRE(this->nextCall().has_value());
        this->registration.onOutcome(Outcome::Written, this->now);
    }

    TimePoint now{ 1h };
    StoreEra era = 1;
    Registration registration{ this->now, 1 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(registration, Fixture)

BOOST_AUTO_TEST_CASE(writesTheEntryOnce)
{
    const TimePoint start = this->now;
    BOOST_TEST((this->nextCall() == Call::Create));
    BOOST_TEST((this->now - start >= Registration::firstDelay));
    this->registration.onOutcome(Outcome::Written, this->now);
    BOOST_TEST(!this->nextCall(60s).has_value());
}

BOOST_AUTO_TEST_CASE(triesAgainAfterAFailureAndWithoutAnOutcome)
{
    this->nextCall();
    this->registration.onOutcome(Outcome::Failed, this->now);
    BOOST_TEST((this->nextCall() == Call::Create));
    BOOST_TEST((this->nextCall() == Call::Create));
}

BOOST_AUTO_TEST_CASE(replacesTheEntryOfAnEarlierRun)
{
    this->nextCall();
    this->registration.onOutcome(Outcome::OtherThere, this->now);
    BOOST_TEST((this->nextCall(200ms) == Call::Replace));
    // The entry has been removed meanwhile.
    this->registration.onOutcome(Outcome::Failed, this->now);
    BOOST_TEST((this->nextCall() == Call::Create));
    this->registration.onOutcome(Outcome::AlreadyThere, this->now);
    BOOST_TEST(this->registration.isRegistered());
}

// A restored store had lost the entry, and nodes that started later did not find the balancer.
BOOST_AUTO_TEST_CASE(writesTheEntryAgainAfterARestore)
{
    this->registerNode();
    BOOST_TEST(!this->nextCall(20s).has_value());
    this->era = 2;
    const TimePoint restoredAt = this->now;
    BOOST_TEST((this->nextCall() == Call::Create));
    BOOST_TEST((this->now - restoredAt <= Registration::restoreSpread + 100ms));
    this->registration.onOutcome(Outcome::AlreadyThere, this->now);
    BOOST_TEST(!this->nextCall(60s).has_value());
}

// The era rises while the call is on its way: the entry may be in the lost span.
BOOST_AUTO_TEST_CASE(writesTheEntryAgainIfTheStoreWasRestoredDuringTheCall)
{
    this->nextCall();
    this->era = 2;
    this->registration.onOutcome(Outcome::Written, this->now);
    BOOST_TEST((this->nextCall() == Call::Create));
}

BOOST_AUTO_TEST_SUITE_END()
