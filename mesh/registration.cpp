#include "mesh/registration.h"

namespace cactusdeck::mesh {

Registration::Registration(TimePoint start, std::uint64_t seed)
    : random(seed)
    , nextAt(start + firstDelay)
{ }

std::optional<Registration::Call> Registration::takeCall(StoreEra era, TimePoint now)
{
    if (this->registered && era > this->registeredEra) {
        std::uniform_int_distribution<std::int64_t> delay(0, restoreSpread.count());
        this->registered = false;
        this->nextAt = now + std::chrono::milliseconds(delay(this->random));
    }
    if (this->registered || now < this->nextAt)
        return std::nullopt;
    this->nextAt = now + retryInterval;
    this->registeredEra = era;
    return this->next;
}

void Registration::onOutcome(Outcome outcome, TimePoint now)
{
    this->registered = outcome == Outcome::Written || outcome == Outcome::AlreadyThere;
    this->next = outcome == Outcome::OtherThere ? Call::Replace : Call::Create;
    if (outcome == Outcome::OtherThere)
        this->nextAt = now;
}

} // namespace cactusdeck::mesh
