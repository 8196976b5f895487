#include "node/operatorchange.h"

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <mutex>
#include <random>
#include <set>

#include "core/balancer.h"
#include "node/outcome.h"
#include "node/settings.h"

namespace cactusdeck {

namespace {

// Publishing all 1,500 services writes 1,500 objects. The store accepts several hundred calls per
// second from all its clients together.
constexpr double operatorCallsPerSecond = 200;

// Runs each store call on its own thread and collects the answers.
class StoreCallRunner
{
public:
    explicit StoreCallRunner(Endpoint store)
        : client({ .store = store })
    { }
    // Cancels the calls in progress; otherwise a store that does not answer would delay the exit.
    ~StoreCallRunner() { this->client.cancel(); }
    StoreCallRunner(const StoreCallRunner &) = delete;
    StoreCallRunner &operator=(const StoreCallRunner &) = delete;

    void start(StoreCall call)
    {
        std::erase_if(this->running, [](const std::future<void> &future) {
            return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        });
        this->running.push_back(std::async(std::launch::async, [this, call = std::move(call)] {
            StoreAnswer answer = this->client.call(call);
            const std::lock_guard lock(this->mutex);
            this->answers.push_back(std::move(answer));
            this->ready.notify_one();
        }));
    }

    // Waits up to the given time until there is an answer, and returns all answers so far.
    std::vector<StoreAnswer> takeAnswers(std::chrono::milliseconds wait)
    {
        std::unique_lock lock(this->mutex);
        this->ready.wait_for(lock, wait, [this] { return !this->answers.empty(); });
        std::vector<StoreAnswer> result;
        result.swap(this->answers);
        return result;
    }

private:
    StoreClient client;
    std::mutex mutex;
    std::condition_variable ready;
    std::vector<StoreAnswer> answers;
    std::vector<std::future<void>> running; // destroyed first, which waits for the threads
};

} // namespace

Result<std::vector<ServiceContract>> loadContracts(const std::vector<std::string> &files)
{
    std::vector<ServiceContract> contracts;
    Error error;
    for (const std::string &file : files) {
        auto outcome = outcomeOf([&]() -> Result<ServiceContract> {
            BOOST_LEAF_AUTO(text, readFile(file));
            return parseContract(std::string_view(text), file);
        });
        if (outcome) {
            contracts.push_back(std::move(*outcome.value));
            continue;
        }
        // The kind of the first fault determines the exit code.
        if (error.message.empty())
            error.kind = outcome.error.kind;
        error.message += (error.message.empty() ? "" : "\n") + outcome.error.message;
    }
    if (!error.message.empty())
        return fail(error.kind, error.message);
    BOOST_LEAF_CHECK(checkContracts(contracts));
    return contracts;
}

Result<std::vector<ServiceContract>> loadDirectory(const std::string &directory)
{
    std::vector<std::string> files;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(directory, error)) {
        if (entry.path().extension() == ".json")
            files.push_back(entry.path().string());
    }
    if (error)
        return fail(ErrorKind::Io, directory + ": " + error.message());
    std::sort(files.begin(), files.end());
    return loadContracts(files);
}

PublishOutcome makeChange(Endpoint store, PublisherOptions options, const StartChange &start)
{
    StoreCalls calls({ .seed = std::random_device()(), .callsPerSecond = operatorCallsPerSecond });
    Publisher publisher(calls, std::move(options));
    StoreCallRunner runner(store);
    Outbox outbox;
    start(publisher, Clock::now(), outbox);
    while (!publisher.outcome()) {
        for (StoreCall &call : outbox.store)
            runner.start(std::move(call));
        outbox.clear();
        for (const StoreAnswer &answer : runner.takeAnswers(tickInterval))
            publisher.onAnswer(answer, Clock::now(), outbox);
        publisher.onTimer(Clock::now(), outbox);
    }
    return *publisher.outcome();
}

Result<ConfigurationHead> readHead(Endpoint store)
{
    StoreClient client({ .store = store });
    const StoreAnswer answer =
            client.call({ .operation = StoreOperation::Get, .key = std::string(headKey) });
    switch (answer.status) {
    case StoreStatus::Ok:
        return parseHead(answer.value);
    case StoreStatus::NotFound:
        return ConfigurationHead{};
    case StoreStatus::Timeout:
        return fail(ErrorKind::StoreTimeout, "no answer from the store");
    default:
        return fail(ErrorKind::StoreUnavailable, "the store can't be reached");
    }
}

ContractDiff diffAgainst(const ConfigurationHead &head,
                         const std::vector<ServiceContract> &contracts)
{
    ContractDiff diff;
    std::set<ServiceName> names;
    for (const ServiceContract &contract : contracts) {
        names.insert(contract.service);
        const auto old = head.services.find(contract.service);
        if (old == head.services.end())
            diff.added.push_back(contract.service);
        else if (old->second != contractHash(contractText(contract)))
            diff.changed.push_back(contract.service);
    }
    for (const auto &[service, hash] : head.services) {
        if (!names.contains(service))
            diff.removed.push_back(service);
    }
    return diff;
}

std::string makeChangeId()
{
    constexpr char digits[] = "0123456789abcdef";
    std::random_device random;
    std::string id;
    for (int word = 0; word < 4; ++word) {
        std::uint32_t bits = random();
        for (int i = 0; i < 8; ++i, bits >>= 4)
            id += digits[bits & 15];
    }
    return id;
}

} // namespace cactusdeck
