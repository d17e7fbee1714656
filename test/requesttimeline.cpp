#define BOOST_TEST_MODULE requesttimeline
#include "main.h"

#include <Apricothead/Coordination>

using namespace Apricothead;

BOOST_AUTO_TEST_CASE(linesOfSeveralProcessesAreOrderedWithStateEvents)
{
    RequestTimeline timeline("r1");
    BOOST_TEST(
        timeline.addLine(R"(  3.2 g-1 {"timeMs":130,"process":"g-1","level":"warning","event":"request-ended","request":"r1","status":503,"why":"no-lease"})"));
    BOOST_TEST(timeline.addLine(R"({"timeMs":100,"process":"g-1","event":"request-sent","request":"r1","endpoint":"e-1"})"));
    BOOST_TEST(timeline.addLine(R"({"timeMs":90,"process":"g-1","event":"endpoint-seen","endpoint":"e-1","state":"ready"})"));
    BOOST_TEST(timeline.addLine(R"({"timeMs":80,"process":"g-1","event":"endpoint-seen","endpoint":"e-1","state":"older"})"));
    BOOST_TEST(timeline.addLine(R"({"timeMs":91,"process":"g-1","event":"endpoint-seen","endpoint":"e-2","state":"ready"})"));
    BOOST_TEST(timeline.addLine(R"({"timeMs":95,"process":"g-2","event":"serving-state","revision":4})"));
    BOOST_TEST(timeline.addLine(R"({"timeMs":95,"process":"g-1","event":"serving-state","revision":3})"));
    BOOST_TEST(timeline.addLine(R"({"timeMs":99,"process":"g-1","event":"request-sent","request":"r2"})"));
    BOOST_TEST(!timeline.addLine("no line of a log"));
    BOOST_TEST(!timeline.addLine("{broken"));
    BOOST_TEST(timeline.toText()
               == "request r1; times in ms from its first line\n"
                  "-10 g-1 endpoint-seen endpoint=e-1 state=ready\n"
                  "-5 g-1 serving-state revision=3\n"
                  "0 g-1 request-sent endpoint=e-1\n"
                  "30 g-1 request-ended status=503 why=no-lease\n");
    BOOST_TEST(RequestTimeline("r9").toText().empty());
}
