// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TOOLS_COMMAND_ANSWERPRINTER_H
#define PIERBANK_TOOLS_COMMAND_ANSWERPRINTER_H

#include "pierbank/http/HttpClient.h"

namespace pierbank {

/** Exit status of the command line. */
enum class CommandExit { DONE = 0, REFUSED = 1, USAGE = 2, UNREACHABLE = 3 };

/**
 * Prints the answer of a gateway, as text or, with `asJson`, as the JSON that was received.
 * @return the exit status that corresponds to the answer.
 */
CommandExit printAnswer(const HttpResult& answer, bool asJson);

}  // namespace pierbank

#endif  // PIERBANK_TOOLS_COMMAND_ANSWERPRINTER_H
