#pragma once

namespace Apricothead {

/** Makes the message library write its complaints, such as invalid UTF-8 in a received message, as JSON log lines instead of plain text. */
void logMessageErrors();

} // namespace Apricothead
