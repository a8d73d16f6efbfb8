#include "common/random.h"

/* A double holds this many bits of a fraction. */
#define RANDOM_FRACTION_BITS 53

uint64_t
random_next(uint64_t *state)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return *state * 0x2545F4914F6CDD1DULL;
}

double
random_fraction(uint64_t *state)
{
    return (double)(random_next(state) >> (64 - RANDOM_FRACTION_BITS)) /
           (double)(1ULL << RANDOM_FRACTION_BITS);
}
