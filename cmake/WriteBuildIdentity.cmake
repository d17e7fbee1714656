# Writes OUTPUT, a header that names what is built: VERSION, and the revision of SOURCE, with "-dirty" when a tracked file differs from it. Without
# Git it is a digest of the sources. The file is written only when its content changes.
cmake_policy(VERSION 3.25)
execute_process(COMMAND git describe --always --dirty --abbrev=12 --exclude=*
    WORKING_DIRECTORY ${SOURCE} OUTPUT_VARIABLE REVISION ERROR_QUIET OUTPUT_STRIP_TRAILING_WHITESPACE RESULT_VARIABLE FAILED)
if(FAILED)
    file(GLOB_RECURSE FILES LIST_DIRECTORIES false
        ${SOURCE}/Apricothead/* ${SOURCE}/app/* ${SOURCE}/platform/* ${SOURCE}/proto/* ${SOURCE}/generated/*)
    list(SORT FILES)
    set(DIGESTS "")
    foreach(FILE IN LISTS FILES)
        file(SHA256 ${FILE} DIGEST)
        string(APPEND DIGESTS ${DIGEST})
    endforeach()
    string(SHA256 REVISION "${DIGESTS}")
    string(SUBSTRING ${REVISION} 0 12 REVISION)
    string(PREPEND REVISION "sources-")
endif()
file(CONFIGURE OUTPUT ${OUTPUT} CONTENT "#pragma once\n\nnamespace Apricothead {\n\nconstexpr const char *BuildIdentity = \"@VERSION@+@REVISION@\";\n\n} // namespace Apricothead\n" @ONLY)
