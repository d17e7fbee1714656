#include <iostream>

int main()
{
    std::cout << "apricothead\n";
    return 0;
}
