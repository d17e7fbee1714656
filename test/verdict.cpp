#define BOOST_TEST_MODULE verdict
#include "main.h"

#include <Apricothead/Protocol>

using namespace Apricothead;

BOOST_AUTO_TEST_CASE(combinedPromisesLess)
{
    BOOST_TEST(verdictName(combined(Verdict::NotRun, Verdict::MayHaveRun)) == "may-have-run");
    BOOST_TEST(verdictName(combined(Verdict::NotRun, Verdict::NotRun)) == "not-run");
    BOOST_TEST(verdictName(combined(Verdict::Ran, Verdict::MayHaveRun)) == "ran");
}
