#ifndef CACTUSDECK_CORE_PUBLISHER_H
#define CACTUSDECK_CORE_PUBLISHER_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "core/changeplan.h"
#include "core/head.h"
#include "core/storecalls.h"

// Carries out one configuration change by an operator, from the command to its outcome.
//
//     StoreCalls calls({ .seed = ..., .callsPerSecond = 200 });
//     Publisher publisher(calls, { .changeId = ..., .author = ..., .reason = ..., .time = ... });
//     publisher.publish(contracts, now, outbox);           // or setZone, or lookUp
//     while (!publisher.outcome()) {
//         ...                                              // carry out outbox.store
//         publisher.onAnswer(answer, now, outbox);
//         publisher.onTimer(now, outbox);                  // every 50 ms
//     }
//
// A Publisher makes a single change. Replacing the head object is the commit point: before it
// nothing of the change is in effect, and after it the whole change is. If the answer to that write
// is lost, the Publisher reads the head back and looks for the change id, so the id must be unique.

namespace cactusdeck {

enum class PublishResult : std::uint8_t {
    Accepted, // in effect as `version`
    Unchanged, // the configuration already is as requested
    Conflict, // another change, `winner`, was accepted first
    Rejected, // `error` says why; nothing was changed
    NotAccepted, // the store was unreachable, or gave only stale heads, until the deadline; nothing
                 // was or will be changed
    OutcomeUnknown, // the head write was sent, and whether it took effect can't be determined
};

std::string_view toString(PublishResult result);
// The command line by which an operator checks whether a change was accepted. The command calls
// Publisher::lookUp.
std::string checkCommand(const std::string &changeId);

struct PublishOutcome
{
    PublishResult result = PublishResult::Rejected;
    std::string changeId;
    ConfigurationVersion version = 0; // the accepted or else the current one, 0 if unknown
    ContractDiff diff; // set by publish only
    std::optional<ChangeRecord> winner; // for Conflict, if the head could be read again
    Error error; // for all results but Accepted and Unchanged
    std::string message; // one line for the operator
};

class Publisher
{
public:
    Publisher(StoreCalls &calls, PublisherOptions options);

    // Replaces all contracts.
    void publish(std::vector<ServiceContract> contracts, TimePoint now, Outbox &outbox);
    void setZone(ZoneName zone, ZoneState state, TimePoint now, Outbox &outbox);
    // Checks whether the change with options.changeId was accepted.
    void lookUp(TimePoint now, Outbox &outbox);

    void onAnswer(const StoreAnswer &answer, TimePoint now, Outbox &outbox);
    void onTimer(TimePoint now, Outbox &outbox);

    const std::optional<PublishOutcome> &outcome() const { return this->result; }

private:
    enum class Change : std::uint8_t { Contracts, Zone, LookUp };
    enum class Step : std::uint8_t {
        ReadHead, // before the head write is sent
        WriteObjects,
        WriteHead,
        Confirm, // rewrites the head unchanged, since the read that showed no difference may have
                 // been stale
        ReadBack, // after a conflict, or a head write without an answer
        Done,
    };
    struct ObjectState
    {
        std::uint64_t expectedVersion = 0; // store version that the write replaces
        bool written = false;
    };
    struct ObjectWriter
    {
        StoreSlot slot;
        std::optional<std::size_t> object; // index in objects
    };

    StoreSlot headSlot;
    std::vector<ObjectWriter> writers;
    PublisherOptions options;
    Change change = Change::LookUp;
    Step step = Step::Done;
    TimePoint deadline;
    std::vector<ServiceContract> contracts;
    ZoneName zone;
    ZoneState zoneState = ZoneState::In;

    ConfigurationHead base; // the head that the plan changes
    std::uint64_t baseObjectVersion = 0; // store version of base
    ChangePlan plan;
    std::vector<ObjectState> objects; // states of plan.objects, by index
    std::size_t nextObject = 0; // index of the first object without a writer
    // Store version reported by a conflict; a head read with a lower one is stale.
    std::uint64_t conflictObjectVersion = 0;
    int unresolvedHeadWrites = 0; // head writes that may still take effect
    // Newest version among the stale heads that were read; 0 if there was none.
    ConfigurationVersion newestStaleVersion = 0;
    std::optional<PublishOutcome> result;

    void begin(Change kind, TimePoint now, Outbox &outbox);
    void advance(TimePoint now, Outbox &outbox);
    void sendHeadCall(TimePoint now, Outbox &outbox);
    void sendObjects(TimePoint now, Outbox &outbox);
    void onHeadAnswer(const StoreAnswer &answer, TimePoint now);
    void onHeadRead(const StoreAnswer &answer, TimePoint now);
    void onHeadWriteAnswer(const StoreAnswer &answer);
    void onConfirmAnswer(const StoreAnswer &answer);
    void onReadBack(const StoreAnswer &answer, ConfigurationHead head, TimePoint now);
    void onObjectAnswer(ObjectWriter &writer, const StoreAnswer &answer);
    void onBaseReplaced(ConfigurationHead winner, std::uint64_t object);
    void onDeadline();
    void planFromBase();
    Result<ChangePlan> makePlan() const;
    void finishLookUp();
    void finish(PublishResult kind, Error error, std::string message);
    void finishAccepted(ConfigurationVersion version);
    void finishConflict(const ConfigurationHead &winner);
    void reject(ErrorKind kind, const std::string &message);
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_PUBLISHER_H
