#include "usage/types.h"

#include "base/hash.h"

namespace chervilfield::usage {

CustomerKey customerKey(std::string_view customer, fleet::CostUnit unit)
{
    // The seed is part of the wire protocol, unlike the value of the enumerator.
    return base::hash64(customer, unit == fleet::CostUnit::Tokens ? 2 : 1);
}

CustomerKey refundKey(CustomerKey customer)
{
    constexpr std::uint64_t kRefunds = 0x7265'6675'6e64'7300; // "refunds" in ASCII.
    return base::combineHash(customer, kRefunds);
}

} // namespace chervilfield::usage
