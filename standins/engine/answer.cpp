#include "engine/answer.h"

#include "base/hash.h"

namespace chervilfield::standins {

std::string answerToken(std::string_view prompt, std::string_view weights, std::uint64_t index)
{
    const std::uint64_t seed = base::hash64(prompt, base::hash64(weights));
    return ' ' + base::toHex(base::combineHash(seed, index)).substr(0, 4);
}

} // namespace chervilfield::standins
