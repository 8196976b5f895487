#include "node/storeclient.h"

#include <charconv>
#include <mutex>
#include <set>

#include <httplib.h>

namespace cactusdeck {

namespace {

// Returns the version in the format of an ETag.
std::string quoted(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

// Returns the version in the ETag header, or 0 if it is absent or not a quoted number.
std::uint64_t versionOf(const httplib::Response &response)
{
    const std::string tag = response.get_header_value("ETag");
    std::uint64_t version = 0;
    if (tag.size() > 2)
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    return version;
}

StoreStatus statusOfError(httplib::Error error)
{
    // Only if the connection was not established is it certain that the store did not get the call.
    const bool wasNotSent = error == httplib::Error::Connection
                            || error == httplib::Error::ConnectionTimeout
                            || error == httplib::Error::BindIPAddress;
    return wasNotSent ? StoreStatus::Unavailable : StoreStatus::Timeout;
}

StoreStatus statusOfPut(int code)
{
    if (code == 200 || code == 201 || code == 204)
        return StoreStatus::Ok;
    if (code == 412)
        return StoreStatus::Conflict;
    // With 503 and 4xx the store refused the write. After other server errors the write may have
    // taken effect.
    return code == 503 || code < 500 ? StoreStatus::Unavailable : StoreStatus::Timeout;
}

StoreStatus statusOfRead(int code)
{
    switch (code) {
    case 200:
    case 304:
        return StoreStatus::Ok;
    case 404:
        return StoreStatus::NotFound;
    default:
        return StoreStatus::Unavailable;
    }
}

} // namespace

struct StoreClient::Parts
{
    explicit Parts(StoreClientOptions clientOptions)
        : options(clientOptions)
    { }

    httplib::Result send(httplib::Client &client, const StoreCall &call) const
    {
        const std::string path = "/objects/" + call.key;
        switch (call.operation) {
        case StoreOperation::Get:
            return client.Get(path);
        case StoreOperation::Watch:
            return client.Get(path + "?watch=" + std::to_string(call.version)
                              + "&timeoutMilliseconds="
                              + std::to_string(this->options.watchTimeout.count()));
        case StoreOperation::Put:
            break;
        }
        const httplib::Headers condition =
                call.version == 0 ? httplib::Headers{ { "If-None-Match", "*" } }
                                  : httplib::Headers{ { "If-Match", quoted(call.version) } };
        return client.Put(path, condition, call.value, "application/json");
    }

    // Makes cancel() stop this client. Returns false if cancel() has already been called.
    bool registerClient(httplib::Client *client)
    {
        const std::lock_guard lock(this->mutex);
        if (!this->cancelled)
            this->active.insert(client);
        return !this->cancelled;
    }

    void unregisterClient(httplib::Client *client)
    {
        const std::lock_guard lock(this->mutex);
        this->active.erase(client);
    }

    StoreClientOptions options;
    std::mutex mutex;
    std::set<httplib::Client *> active;
    bool cancelled = false;
};

StoreClient::StoreClient(StoreClientOptions options)
    : parts(std::make_unique<Parts>(options))
{ }

StoreClient::~StoreClient() = default;

StoreAnswer StoreClient::call(const StoreCall &call)
{
    const StoreClientOptions &options = this->parts->options;
    StoreAnswer answer{ .id = call.id, .status = StoreStatus::Unavailable, .key = call.key };
    httplib::Client client(hostOf(options.store), options.store.port);
    client.set_connection_timeout(options.connectTimeout);
    // The store may wait for the whole watchTimeout before it answers.
    const bool isWatch = call.operation == StoreOperation::Watch;
    client.set_read_timeout(options.readTimeout
                            + (isWatch ? options.watchTimeout : std::chrono::milliseconds(0)));
    client.set_write_timeout(options.readTimeout);
    if (!this->parts->registerClient(&client))
        return answer;
    const httplib::Result result = this->parts->send(client, call);
    this->parts->unregisterClient(&client);
    if (!result) {
        answer.status = statusOfError(result.error());
        return answer;
    }
    const bool isPut = call.operation == StoreOperation::Put;
    answer.status = isPut ? statusOfPut(result->status) : statusOfRead(result->status);
    answer.version = result->status == 304 ? call.version : versionOf(*result);
    if (!isPut && result->status == 200)
        answer.value = result->body;
    return answer;
}

void StoreClient::cancel()
{
    const std::lock_guard lock(this->parts->mutex);
    this->parts->cancelled = true;
    for (httplib::Client *client : this->parts->active)
        client->stop();
}

} // namespace cactusdeck
