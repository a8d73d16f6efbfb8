#ifndef CH_COMMON_INVARIANT_H
#define CH_COMMON_INVARIANT_H

/* Prints the failed condition and its place to stderr, and aborts. */
void invariant_fail(const char *expr, const char *file, int line)
    __attribute__((noreturn));

/*
 * Checks a condition that must always hold. Also compiled into release builds:
 * a process whose state is corrupt aborts rather than break a guarantee that
 * its clients rely on.
 */
#define CH_INVARIANT(expr)                                                    \
    do {                                                                      \
        if (!(expr)) {                                                        \
            invariant_fail(#expr, __FILE__, __LINE__);                        \
        }                                                                     \
    } while (0)

#endif
