#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilfield::standins {

/// Returns the text of token `index` of the answer to `prompt` under `weights`. It depends on
/// nothing else, so that a test can tell a right answer from a wrong or mixed one.
std::string answerToken(std::string_view prompt, std::string_view weights, std::uint64_t index);

} // namespace chervilfield::standins
