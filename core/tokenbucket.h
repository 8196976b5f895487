#ifndef CACTUSDECK_CORE_TOKENBUCKET_H
#define CACTUSDECK_CORE_TOKENBUCKET_H

#include <algorithm>

#include "core/types.h"

// Token bucket that limits the rate of actions: tokens are added at a fixed rate up to a limit, and
// each action takes some.
//
//     TokenBucket bucket(500, 1000);          // 500 per second, bursts of 1000
//     if (bucket.take(40, now)) ...

namespace cactusdeck {

class TokenBucket
{
public:
    TokenBucket(double tokensPerSecond, double limit)
        : rate(tokensPerSecond)
        , burst(limit)
        , tokens(limit)
    { }

    // Takes count tokens, or returns false and takes none if there are fewer.
    bool take(double count, TimePoint now)
    {
        if (now > this->updated) {
            const std::chrono::duration<double> passed = now - this->updated;
            this->tokens = std::min(this->burst, this->tokens + this->rate * passed.count());
            this->updated = now;
        }
        if (this->tokens < count)
            return false;
        this->tokens -= count;
        return true;
    }

private:
    double rate;
    double burst;
    double tokens;
    TimePoint updated{};
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_TOKENBUCKET_H
