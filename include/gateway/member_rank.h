#ifndef CH_GATEWAY_MEMBER_RANK_H
#define CH_GATEWAY_MEMBER_RANK_H

#include "gateway/member.h"

/* Internal interface of the member_*.c files. */

/* Sorts the VMs by rank if the table has changed. */
void member_update_ranking(struct members *members);

/* Whether a VM that was sent heartbeats did not send one in time. */
bool member_is_dead(const struct members *members, const struct member_vm *vm,
                    int64_t now_us);

#endif
