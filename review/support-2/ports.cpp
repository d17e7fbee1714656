// Prints as many free ports of the loopback as its argument says.
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    const long count = argc > 1 ? std::strtol(argv[1], nullptr, 10) : 1;
    // All sockets stay open until the end, so that no port is printed twice.
    for (long number = 0; number < count; ++number) {
        const int file = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (::bind(file, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::getsockname(file, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            return 2;
        }
        std::cout << ntohs(address.sin_port) << (number + 1 < count ? " " : "\n");
    }
    return 0;
}
