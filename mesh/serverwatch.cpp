#include "mesh/serverwatch.h"

#include <algorithm>

namespace cactusdeck::mesh {

void ServerWatch::start(TimePoint now)
{
    this->due = now + firstCheckDelay;
}

void ServerWatch::onHanded(TimePoint now)
{
    if (!this->due && !this->isChecking && !this->gone)
        this->due = now + unansweredTime;
}

void ServerWatch::onSign()
{
    this->due.reset();
    this->repeat = firstRepeat;
    this->refusals = 0;
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
        return false; // the server has given a sign meanwhile
    if (outcome == ConnectOutcome::Refused && ++this->refusals >= refusalsForGone) {
        this->due.reset();
        this->gone = true;
        return true;
    }
    if (outcome == ConnectOutcome::Refused) {
        this->due = now + confirmDelay;
        return false;
    }
    this->refusals = 0;
    this->due = now + this->repeat;
    this->repeat = std::min(this->repeat * 2, lastRepeat);
    return false;
}

TimePoint ServerWatch::nextCheck() const
{
    return this->due && !this->isChecking ? *this->due : TimePoint::max();
}

} // namespace cactusdeck::mesh
