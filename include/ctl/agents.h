#ifndef CH_CTL_AGENTS_H
#define CH_CTL_AGENTS_H

#include "ctl/ctl.h"

/* What one agent answered last. */
struct agt {
    const char *address;
    json_t *status; /* body of GET /status, NULL when it did not answer */
    int64_t revision;
    bool is_told; /* answered 200 to the last agt_post() */
};

/* One per address of --agents; free with agt_free(). */
struct agt *agt_new(const struct ctl *ctl);

void agt_free(const struct ctl *ctl, struct agt *agents);

/* Asks those agents whose revision is below `below`. */
void agt_read(const struct ctl *ctl, struct agt *agents, int64_t below,
              int64_t timeout_ms);

/* A field of the status as text, "-" when it is not there; g_free. */
char *agt_text(const struct agt *agent, const char *key);

/* The machine's name, or the address of an agent that never answered. */
const char *agt_name(const struct agt *agent);

/* Posts the same body to those agents whose revision is below `below`. */
void agt_post(const struct ctl *ctl, struct agt *agents, int64_t below,
              const char *path, const char *body, int64_t timeout_ms);

/*
 * Hands a document to the agents and follows it until it is in force on all
 * or the deadline has passed; prints the machines.
 */
enum ctl_exit agt_follow(struct ctl *ctl, const json_t *document);

#endif
