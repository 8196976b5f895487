#include "mesh/serverwatch.h"

#include <algorithm>

namespace cactusdeck::mesh {

void ServerWatch::start(TimePoint now)
{
    this->due = now + firstCheckDelay;
}

void ServerWatch::onPacketSent(TimePoint now)
{
    if (!this->due && !this->isChecking && !this->gone)
        this->due = now + unansweredTime;
}

void ServerWatch::onServerHeard()
{
    this->due.reset();
    this->retryDelay = firstRetryDelay;
    this->refusals = 0;
    this->timeouts = 0;
    this->hasHeard = true;
    this->gone = false;
}

void ServerWatch::onStop(TimePoint now)
{
    if (!this->isChecking && !this->gone)
        this->due = now;
}

bool ServerWatch::takeCheck(TimePoint now)
{
    if (!this->due || this->isChecking || now < *this->due)
        return false;
    this->isChecking = true;
    return true;
}

bool ServerWatch::onOutcome(ConnectOutcome outcome, TimePoint now)
{
    this->isChecking = false;
    if (!this->due)
        return false; // the server has been heard since the check began
    this->refusals = outcome == ConnectOutcome::Refused ? this->refusals + 1 : 0;
    this->timeouts = outcome == ConnectOutcome::TimedOut ? this->timeouts + 1 : 0;
    if (this->refusals >= refusalLimit || (!this->hasHeard && this->timeouts >= timeoutLimit)) {
        this->due.reset();
        this->gone = true;
        return true;
    }
    if (outcome == ConnectOutcome::Refused) {
        this->due = now + confirmDelay;
        return false;
    }
    this->due = now + this->retryDelay;
    this->retryDelay = std::min(this->retryDelay * 2, maxRetryDelay);
    return false;
}

TimePoint ServerWatch::nextCheck() const
{
    return this->due && !this->isChecking ? *this->due : TimePoint::max();
}

} // namespace cactusdeck::mesh
