#ifndef CH_COMMON_INVARIANT_H
#define CH_COMMON_INVARIANT_H

/* Called when an invariant does not hold; prints the place and aborts. */
void invariant_fail(const char *expr, const char *file, int line)
    __attribute__((noreturn));

/*
 * Checks a rule that must always hold. Stays on in release builds: a process
 * that would break a promise stops instead.
 */
#define CH_INVARIANT(expr)                                                    \
    do {                                                                      \
        if (!(expr)) {                                                        \
            invariant_fail(#expr, __FILE__, __LINE__);                        \
        }                                                                     \
    } while (0)

#endif
