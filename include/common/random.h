#ifndef CH_COMMON_RANDOM_H
#define CH_COMMON_RANDOM_H

#include <stdint.h>

/*
 * Pseudorandom numbers (xorshift64*), for choices among equals and for tests
 * that are repeated by their seed; not for secrets. The state belongs to the
 * caller and must not be 0 at the start.
 */

/* Returns 64 bits, of which the upper ones are the better. */
uint64_t random_next(uint64_t *state);

/* Returns a number from 0 up to but not including 1. */
double random_fraction(uint64_t *state);

#endif
