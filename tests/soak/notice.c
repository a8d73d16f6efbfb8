#include "soak.h"

/* Checks that a gateway obeys what a backend server says in its responses:
 * that it is leaving, and that it wants no requests for a while. */

/* Requests that may still arrive while the backend server wants none: they
 * were sent before its response arrived. */
#define NOTICE_BACKOFF_ARRIVALS_MAX 2
#define NOTICE_BACKOFF_SLACK_US (SOAK_SECOND_US / 2)

/* Whether the process of the VM has run since without a pause. */
static bool
notice_holds(const struct server_notice *notice, const struct vm *vm,
             int64_t since_us)
{
    return since_us > 0 && notice->vm_incarnation == vm->incarnation &&
           vm->paused_or_resumed_us < since_us && !vm->is_paused;
}

static struct server_notice *
notice_of(struct server *server, const struct vm *vm)
{
    struct server_notice *notice = &server->notices[vm->index];
    if (notice->vm_incarnation != vm->incarnation) {
        *notice = (struct server_notice){.vm_incarnation = vm->incarnation};
    }
    return notice;
}

void
notice_on_leaving(struct server *server, const struct vm *vm)
{
    struct server_notice *notice = notice_of(server, vm);
    if (notice->leaving_us == 0) {
        notice->leaving_us = soak_now_us();
        soak_count(server->soak, "leaving passed on");
    }
}

void
notice_on_backoff(struct server *server, const struct vm *vm)
{
    struct server_notice *notice = notice_of(server, vm);
    int64_t now_us = soak_now_us();
    if (now_us < notice->backoff_until_us ||
        !proxy_is_passing_since(server->proxy, now_us - SOAK_SECOND_US)) {
        return;
    }
    notice->backoff_us = now_us;
    notice->backoff_until_us = now_us + SOAK_BACKOFF_S * SOAK_SECOND_US;
    notice->backoff_arrivals = 0;
    soak_count(server->soak, "backoff sent");
}

static void
notice_check_leaving(struct server *server, const struct vm *vm,
                     const char *id, int64_t sent_us)
{
    const struct server_notice *notice = &server->notices[vm->index];
    if (notice_holds(notice, vm, notice->leaving_us) &&
        sent_us > notice->leaving_us + SOAK_DRAIN_LIMIT_US) {
        soak_violation(server->soak, "leaving",
                       "%s from %s reached %s, which had said that it leaves",
                       id, vm->name, server->id);
    }
}

static void
notice_check_backoff(struct server *server, const struct vm *vm,
                     const char *id)
{
    struct server_notice *notice = &server->notices[vm->index];
    int64_t now_us = soak_now_us();
    if (!notice_holds(notice, vm, notice->backoff_us) ||
        now_us < notice->backoff_us + NOTICE_BACKOFF_SLACK_US ||
        now_us >= notice->backoff_until_us ||
        !proxy_is_passing_since(server->proxy,
                                notice->backoff_us - SOAK_SECOND_US)) {
        return;
    }
    notice->backoff_arrivals += 1;
    if (notice->backoff_arrivals > NOTICE_BACKOFF_ARRIVALS_MAX) {
        soak_violation(server->soak, "backoff",
                       "%s from %s reached %s, which wanted no requests", id,
                       vm->name, server->id);
    }
}

void
notice_on_arrival(struct server *server, const struct vm *vm, const char *id,
                  int64_t sent_us)
{
    notice_check_leaving(server, vm, id, sent_us);
    notice_check_backoff(server, vm, id);
}
