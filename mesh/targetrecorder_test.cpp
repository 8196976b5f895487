#include "mesh/targetrecorder.h"

#include <boost/test/unit_test.hpp>

using namespace cactusdeck;
using namespace cactusdeck::mesh;
using namespace std::chrono_literals;

namespace {

using CallKind = TargetCall::Kind;
using OutcomeKind = TargetOutcome::Kind;

const Endpoint booking{ 0xC6120001u, 443 };

struct Fixture
{
    void configure(ConfigurationVersion version, const std::string &service)
    {
        FleetConfiguration configuration{ .version = version };
        configuration.routes[booking] = { .targets = { { .service = ServiceName{ service } } } };
        this->state.adoptConfiguration(
                std::make_shared<const FleetConfiguration>(std::move(configuration)));
    }

    static TargetRecord recordOf(ConfigurationVersion version, const std::string &service)
    {
        return { .version = version, .current = { { booking, { ServiceName{ service } } } } };
    }

    // Returns the next call within the time.
    std::optional<TargetCall> nextCall(Duration within, std::size_t rank = 0)
    {
        for (const TimePoint end = this->now + within; this->now < end; this->now += 100ms) {
            if (auto call = this->recorder.takeCall(this->state, rank, this->now))
                return call;
        }
        return std::nullopt;
    }

    bool finish(const TargetOutcome &outcome)
    {
        return this->recorder.onOutcome(outcome, this->state, this->now);
    }

    // Reads that there is no record, and writes the first one.
    void writeFirst()
    {
        BOOST_REQUIRE(this->nextCall(100ms).has_value());
        BOOST_TEST(!this->finish({ .kind = OutcomeKind::Missing }));
        const auto call = this->nextCall(100ms);
        BOOST_REQUIRE(call.has_value());
        BOOST_TEST(int(call->kind) == int(CallKind::Create));
        BOOST_TEST(this->finish({ .kind = OutcomeKind::Written }));
    }

    TimePoint now{ 1h };
    FleetState state;
    TargetRecorder recorder;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(targetRecorder, Fixture)

BOOST_AUTO_TEST_CASE(writesOnlyChangesOfTargets)
{
    this->configure(1, "booking");
    this->writeFirst();
    this->configure(2, "booking");
    BOOST_TEST(!this->nextCall(60s).has_value());
    this->configure(3, "tickets");
    const auto read = this->nextCall(10s);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(int(read->kind) == int(CallKind::Read));
    BOOST_TEST(read->mayBeOutdated);
    this->finish({ .kind = OutcomeKind::Found, .revision = 5, .record = recordOf(1, "booking") });
    const auto write = this->nextCall(10s);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(int(write->kind) == int(CallKind::Replace));
    BOOST_TEST(write->revision == 5u);
    BOOST_TEST(write->record.former.at(booking).contains(ServiceName{ "booking" }));
}

// A conflict shows the record that another balancer has written meanwhile.
BOOST_AUTO_TEST_CASE(takesTargetsOfAnOlderRecordForFormerOnes)
{
    this->configure(7, "tickets");
    BOOST_TEST(!this->nextCall(100ms).value().mayBeOutdated);
    this->finish({ .kind = OutcomeKind::Missing });
    BOOST_REQUIRE(this->nextCall(100ms).has_value());
    BOOST_TEST(this->finish(
            { .kind = OutcomeKind::Found, .revision = 5, .record = recordOf(1, "booking") }));
    BOOST_TEST(this->state.mayServe(booking, ServiceName{ "booking" }));
    const auto decoded = FleetState::decode(this->state.encode(this->now), this->now);
    BOOST_TEST(decoded.value().knowsFormerTargets());
    BOOST_TEST(int(this->nextCall(100ms).value().kind) == int(CallKind::Replace));
    TargetRecord other = recordOf(7, "tickets");
    other.former[booking].insert(ServiceName{ "booking" });
    this->finish({ .kind = OutcomeKind::Found, .revision = 6, .record = other });
    BOOST_TEST(!this->nextCall(60s).has_value());
}

BOOST_AUTO_TEST_CASE(writesOnceASecondInAStorm)
{
    this->configure(1, "booking");
    this->writeFirst();
    std::size_t writes = 0;
    for (ConfigurationVersion i = 0; i < 50; ++i) {
        this->configure(2 + i, i % 2 == 0 ? "tickets" : "booking");
        while (const auto call = this->recorder.takeCall(this->state, 0, this->now)) {
            const bool isRead = call->kind == CallKind::Read;
            writes += isRead ? 0 : 1;
            this->finish({ .kind = isRead ? OutcomeKind::Found : OutcomeKind::Written,
                           .revision = 5,
                           .record = recordOf(1, "cargo") });
        }
        this->now += 100ms;
    }
    BOOST_TEST(writes <= 5u);
}

BOOST_AUTO_TEST_CASE(waitsForReadersOfBetterRankAndBacksOff)
{
    this->configure(1, "booking");
    this->state.setFormerTargetsKnown();
    BOOST_TEST(!this->nextCall(2 * TargetRecorder::writeDelay, 2).has_value());
    BOOST_REQUIRE(this->nextCall(200ms, 2).has_value());
    std::size_t calls = 0;
    for (const TimePoint end = this->now + 1h; this->now < end; ++calls) {
        this->finish({});
        if (!this->nextCall(2min, 2))
            break;
    }
    BOOST_TEST(calls < 70u);
    BOOST_TEST(calls > 50u);
}

BOOST_AUTO_TEST_SUITE_END()
