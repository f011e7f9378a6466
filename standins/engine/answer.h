#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilfield::standins {

/// Returns the text of token `index` of the answer to `prompt` with version `weights` of the model.
/// The text depends on nothing else, so that a test can detect an answer that is wrong or mixes
/// tokens of several prompts or versions.
std::string answerToken(std::string_view prompt, std::string_view weights, std::uint64_t index);

} // namespace chervilfield::standins
