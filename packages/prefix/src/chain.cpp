#include "prefix/chain.h"

#include "base/hash.h"

namespace chervilfield::prefix {

std::uint64_t chainSeed(const Scope &scope)
{
    // Each field is hashed separately, so that moving text from one field to the next changes the
    // seed.
    std::uint64_t seed = 0;
    for (const std::string_view field :
         { scope.customer, scope.model, scope.weights, scope.adapter })
        seed = base::combineHash(seed, base::hash64(field));
    return seed;
}

std::vector<std::uint64_t> blockChain(std::string_view prompt, std::uint64_t seed)
{
    std::vector<std::uint64_t> chain;
    chain.reserve(prompt.size() / kBlockBytes);
    std::uint64_t previous = seed;
    for (; prompt.size() >= kBlockBytes; prompt.remove_prefix(kBlockBytes)) {
        previous = base::hash64(prompt.substr(0, kBlockBytes), previous);
        chain.push_back(previous);
    }
    return chain;
}

} // namespace chervilfield::prefix
