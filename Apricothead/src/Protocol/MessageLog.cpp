#include "MessageLog.h"

#include "../Transport/Log.h"

#include <google/protobuf/stubs/logging.h>

#include <string>

namespace Apricothead {
namespace {

/** The text stays out of the log: it may quote a request. */
void logComplaint(google::protobuf::LogLevel level, const char *file, int line, const std::string & /*text*/)
{
    const bool isGrave = level >= google::protobuf::LOGLEVEL_ERROR;
    logLine(isGrave ? LogLevel::Warning : LogLevel::Debug, "message-library", {{"file", std::string(file)}, {"line", std::int64_t(line)}});
}

} // namespace

void logMessageErrors()
{
    google::protobuf::SetLogHandler(logComplaint);
}

} // namespace Apricothead
