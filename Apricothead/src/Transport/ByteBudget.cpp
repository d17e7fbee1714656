#include "ByteBudget.h"

namespace Apricothead {
namespace {

constexpr std::size_t BytesPerMegabyte = 1024UL * 1024;
constexpr std::size_t MemoryShare = 3;

} // namespace

ByteBudget &ByteBudget::process()
{
    static ByteBudget budget;
    return budget;
}

void ByteBudget::setMemory(std::size_t megabytes)
{
    this->bound = megabytes * BytesPerMegabyte / MemoryShare;
}

bool ByteBudget::tryCharge(std::size_t bytes)
{
    std::size_t before = this->held;
    do {
        if (before + bytes > this->bound) {
            return false;
        }
    } while (!this->held.compare_exchange_weak(before, before + bytes));
    return true;
}

void ByteBudget::charge(std::size_t bytes)
{
    this->held += bytes;
}

void ByteBudget::release(std::size_t bytes)
{
    this->held -= bytes;
}

std::size_t ByteBudget::used() const
{
    return this->held;
}

std::size_t ByteBudget::limit() const
{
    return this->bound;
}

bool ByteBudget::isScarce() const
{
    return this->held > this->bound / 2;
}

ByteCharge::~ByteCharge()
{
    this->set(0);
}

bool ByteCharge::tryGrow(std::size_t bytes)
{
    if (bytes > this->charged && !ByteBudget::process().tryCharge(bytes - this->charged)) {
        return false;
    }
    if (bytes > this->charged) {
        this->charged = bytes;
    }
    return true;
}

void ByteCharge::set(std::size_t bytes)
{
    if (bytes > this->charged) {
        ByteBudget::process().charge(bytes - this->charged);
    } else {
        ByteBudget::process().release(this->charged - bytes);
    }
    this->charged = bytes;
}

std::size_t ByteCharge::bytes() const
{
    return this->charged;
}

} // namespace Apricothead
