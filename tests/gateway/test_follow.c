#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "gateway/member.h"
#include "gateway/peer_state.h"
#include "gateway/sync.h"
#include "script.h"

/*
 * Plays VMs that follow a store under failure and checks by when each VM knows
 * a change, and how many calls that costs. One object of each kind stands for
 * all.
 */

#define MS 1000
#define STEP_US (10 * MS)
#define TICK_US (100 * MS)
/* The store and peers answer after this time. */
#define ANSWER_US (10 * MS)
#define START_US (1000 * MS)
#define VM_MAX 64
#define CAPACITY 250
#define OBJECT_NAME "main"

enum call_state {
    CALL_NONE,
    CALL_OPEN,
    CALL_DEAD, /* is never answered */
};

struct call {
    enum call_state state;
    struct sync_fetch fetch;
    uint32_t peer; /* that is asked, VM_MAX: the store */
    int64_t sent_us;
};

struct vm {
    struct fleet *fleet;
    char *name;
    struct members members;
    struct sync sync;
    struct call calls[OBJECT_KIND_COUNT];
    int64_t known[OBJECT_KIND_COUNT]; /* revisions of the objects */
    int64_t beat_us;
    int64_t refused_us; /* the store refuses it until then */
    int64_t cut_us;     /* other VMs and it do not hear of each other until */
    int64_t frozen_us;
    uint64_t call_count;
};

struct fleet {
    struct vm vms[VM_MAX];
    uint32_t count;
    int64_t now_us;
    int64_t silent_us;  /* the store answers nothing until then */
    int64_t deaf_us;    /* the store keeps no watch until then */
    int64_t gap_us;     /* watches hear of no change until then */
    int64_t changed_us; /* when `change` was played */
    int64_t revision;   /* of the store */
    int64_t floor;      /* the history before is gone */
    int64_t revisions[OBJECT_KIND_COUNT]; /* of the objects */
    uint32_t loss_permille;               /* of heartbeats */
    uint32_t random;
};

static const char *const kinds[] = {"config", "backends", "drained"};

static enum object_kind
kind_of(const char *name)
{
    int kind = 0;
    while (kind < OBJECT_KIND_COUNT && strcmp(kinds[kind], name) != 0) {
        kind += 1;
    }
    assert_int_not_equal(kind, OBJECT_KIND_COUNT);
    return kind;
}

static uint32_t
vm_index(const char *name)
{
    return (uint32_t)atoi(name + 1);
}

static bool
vm_is_cut(const struct fleet *fleet, uint32_t a, uint32_t b)
{
    const struct vm *vms = fleet->vms;
    return a != b &&
           (fleet->now_us < vms[a].cut_us || fleet->now_us < vms[b].cut_us);
}

static bool
fleet_loses(struct fleet *fleet)
{
    fleet->random = fleet->random * 1103515245 + 12345;
    return (fleet->random >> 16) % 1000 < fleet->loss_permille;
}

static void
vm_fetch(const struct sync_fetch *fetch, void *ctx)
{
    struct vm *vm = ctx;
    bool is_lost =
        fetch->peer == NULL && vm->fleet->now_us < vm->fleet->silent_us;
    vm->calls[fetch->kind] = (struct call){
        .state = is_lost ? CALL_DEAD : CALL_OPEN,
        .fetch = *fetch,
        .peer = fetch->peer != NULL ? vm_index(fetch->peer) : VM_MAX,
        .sent_us = vm->fleet->now_us,
    };
    vm->call_count += fetch->peer == NULL ? 1 : 0;
}

static void
vm_apply(enum object_kind kind, const struct cache_object *object,
         int64_t remove_us, int64_t now_us, void *ctx)
{
    struct vm *vm = ctx;
    vm->known[kind] = object->revision;
}

static const struct sync_calls vm_calls = {
    .fetch = vm_fetch,
    .apply = vm_apply,
};

static void
vm_list_others(struct vm *vm)
{
    const struct fleet *fleet = vm->fleet;
    member_list_begin(&vm->members);
    for (uint32_t i = 0; i < fleet->count; i++) {
        member_list_note(&vm->members, fleet->vms[i].name, fleet->vms[i].name,
                         "d1", fleet->vms[i].members.self->capacity, 1);
    }
    member_list_end(&vm->members, fleet->now_us);
}

/* Whether the store answers the call now. */
static bool
store_answers(const struct fleet *fleet, const struct call *call)
{
    bool is_deaf = fleet->now_us < fleet->gap_us;
    if (!call->fetch.is_watch ||
        (!is_deaf &&
         fleet->revisions[call->fetch.kind] > call->fetch.revision)) {
        return true;
    }
    return fleet->now_us - call->sent_us >= call->fetch.wait_ms * MS;
}

static void
vm_fail_call(struct vm *vm, struct call *call, int rc)
{
    struct sync_fetch fetch = call->fetch;
    call->state = CALL_NONE;
    sync_on_reply(&vm->sync, &fetch, &(struct store_reply){.rc = rc},
                  vm->fleet->now_us);
}

static void
vm_on_store(struct vm *vm, struct call *call)
{
    struct fleet *fleet = vm->fleet;
    struct sync_fetch fetch = call->fetch;
    if (fleet->now_us < vm->refused_us) {
        vm_fail_call(vm, call, RC_STORE_DOWN);
        return;
    }
    if (fetch.is_watch && fetch.revision < fleet->floor) {
        vm_fail_call(vm, call, RC_VERSION_GONE);
        return;
    }
    if (!store_answers(fleet, call)) {
        if (fleet->now_us < fleet->deaf_us) {
            call->state = CALL_DEAD;
        }
        return;
    }
    call->state = CALL_NONE;
    struct cache_object object = {
        .name = OBJECT_NAME,
        .revision = fleet->revisions[fetch.kind],
        .spec = json_true(),
    };
    bool is_shown = !fetch.is_watch || (object.revision > fetch.revision &&
                                        fleet->now_us >= fleet->gap_us);
    struct store_reply reply = {
        .rc = RC_OK,
        .objects = &object,
        .object_count = is_shown ? 1 : 0,
        .current_revision = fleet->revision,
    };
    sync_on_reply(&vm->sync, &fetch, &reply, fleet->now_us);
}

static void
vm_on_peer(struct vm *vm, struct call *call)
{
    struct fleet *fleet = vm->fleet;
    const struct vm *peer = &fleet->vms[call->peer];
    if (vm_is_cut(fleet, (uint32_t)(vm - fleet->vms), call->peer) ||
        fleet->now_us < peer->frozen_us) {
        return;
    }
    struct sync_fetch fetch = call->fetch;
    fetch.peer = "";
    call->state = CALL_NONE;
    char *body = peer_state_write(&peer->sync, fetch.kind, fetch.since);
    struct wire_objects objects;
    peer_state_read(json_loads(body, 0, NULL), &objects);
    sync_on_reply(&vm->sync, &fetch, &objects.reply, fleet->now_us);
    wire_objects_clear(&objects);
    g_free(body);
}

static void
vm_answer_calls(struct vm *vm)
{
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        struct call *call = &vm->calls[kind];
        if (call->state != CALL_OPEN ||
            vm->fleet->now_us - call->sent_us < ANSWER_US) {
            continue;
        }
        if (call->peer == VM_MAX) {
            vm_on_store(vm, call);
        }
        else {
            vm_on_peer(vm, call);
        }
    }
}

static void
vm_hear(struct vm *vm, const struct member_heartbeat *heartbeat)
{
    int64_t own[OBJECT_KIND_COUNT];
    sync_changes(&vm->sync, own);
    member_on_heartbeat(&vm->members, heartbeat, own, vm->fleet->now_us);
}

static struct member_heartbeat
vm_beat(const struct vm *vm, bool is_reply)
{
    struct member_heartbeat heartbeat = {
        .name = vm->name,
        .start = 1,
        .dc = "d1",
        .request_address = vm->name,
        .peer_address = vm->name,
        .capacity = vm->members.self->capacity,
        .is_ready = true,
        .is_reply = is_reply,
    };
    sync_changes(&vm->sync, heartbeat.changes);
    sync_ages(&vm->sync, vm->fleet->now_us, heartbeat.ages_us);
    return heartbeat;
}

/* A heartbeat of `from` to `to`; false if it is lost. */
static bool
fleet_send(struct fleet *fleet, uint32_t from, uint32_t to, bool is_reply)
{
    if (fleet_loses(fleet) || vm_is_cut(fleet, from, to) ||
        fleet->now_us < fleet->vms[to].frozen_us) {
        return false;
    }
    struct member_heartbeat heartbeat = vm_beat(&fleet->vms[from], is_reply);
    vm_hear(&fleet->vms[to], &heartbeat);
    return true;
}

static void
vm_send_beats(struct vm *vm)
{
    struct fleet *fleet = vm->fleet;
    uint32_t self = (uint32_t)(vm - fleet->vms);
    GPtrArray *targets = g_ptr_array_new();
    member_heartbeat_targets(&vm->members, fleet->now_us, targets);
    for (guint i = 0; i < targets->len; i++) {
        const struct member_vm *target = g_ptr_array_index(targets, i);
        uint32_t to = vm_index(target->name);
        if (fleet_send(fleet, self, to, false) &&
            member_must_reply(&fleet->vms[to].members, vm->name,
                              fleet->now_us)) {
            (void)fleet_send(fleet, to, self, true);
        }
    }
    g_ptr_array_free(targets, TRUE);
}

static void
vm_step(struct vm *vm, uint32_t index)
{
    int64_t now_us = vm->fleet->now_us;
    if (now_us < vm->frozen_us) {
        return;
    }
    vm_answer_calls(vm);
    if ((now_us + index * STEP_US) % TICK_US != 0) {
        return;
    }
    sync_tick(&vm->sync, &vm->members, now_us);
    if (now_us - vm->beat_us >= member_heartbeat_ivl_us(&vm->members)) {
        vm->beat_us = now_us;
        vm_send_beats(vm);
    }
}

static void
fleet_run(struct fleet *fleet, int64_t for_us)
{
    int64_t end_us = fleet->now_us + for_us;
    while (fleet->now_us < end_us) {
        fleet->now_us += STEP_US;
        for (uint32_t i = 0; i < fleet->count; i++) {
            vm_step(&fleet->vms[i], i);
        }
    }
}

static void
fleet_clear(struct fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->count; i++) {
        member_clear(&fleet->vms[i].members);
        sync_clear(&fleet->vms[i].sync);
        g_free(fleet->vms[i].name);
    }
    *fleet = (struct fleet){.count = 0};
}

static void
fleet_open(struct fleet *fleet, uint32_t count, uint32_t strong)
{
    fleet_clear(fleet);
    fleet->count = count;
    fleet->now_us = START_US;
    fleet->revision = 10;
    for (uint32_t i = 0; i < fleet->count; i++) {
        struct vm *vm = &fleet->vms[i];
        vm->fleet = fleet;
        vm->name = g_strdup_printf("v%u", i);
        member_init(&vm->members, vm->name,
                    i < strong ? CAPACITY : CAPACITY / 4);
        vm->members.self->request_address = g_strdup(vm->name);
        vm->members.self->dc = g_strdup("d1");
        sync_init(&vm->sync, &vm_calls, vm);
    }
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        fleet->revisions[kind] = 10;
    }
    for (uint32_t i = 0; i < fleet->count; i++) {
        vm_list_others(&fleet->vms[i]);
    }
    fleet_run(fleet, 10000LL * MS);
}

/* > vms COUNT [STRONG]: that run for 10 s; beyond STRONG they are weak. */
static void
run_vms(void *ctx, int argc, char **argv, GString *out)
{
    uint32_t count = (uint32_t)script_number(argc, argv, 1);
    uint32_t strong =
        argc > 2 ? (uint32_t)script_number(argc, argv, 2) : count;
    fleet_open(ctx, count, strong);
}

/* > run MS */
static void
run_run(void *ctx, int argc, char **argv, GString *out)
{
    fleet_run(ctx, script_number(argc, argv, 1) * MS);
}

static void
fleet_change(struct fleet *fleet, enum object_kind kind)
{
    fleet->revision += 1;
    fleet->revisions[kind] = fleet->revision;
}

/* > change KIND...: objects that the store takes now. */
static void
run_change(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    for (int i = 1; i < argc; i++) {
        fleet_change(fleet, kind_of(argv[i]));
    }
    fleet->changed_us = fleet->now_us;
}

static bool
vm_knows_all(const struct vm *vm)
{
    return memcmp(vm->known, vm->fleet->revisions, sizeof(vm->known)) == 0;
}

/* > known MS: runs until then after the change; the VMs that do not know it.
 */
static void
run_known(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    int64_t until_us =
        fleet->changed_us + script_number(argc, argv, 1) * MS - fleet->now_us;
    fleet_run(fleet, until_us);
    uint32_t count = 0;
    for (uint32_t i = 0; i < fleet->count; i++) {
        if (!vm_knows_all(&fleet->vms[i])) {
            g_string_append_printf(out, "%s ", fleet->vms[i].name);
            count += 1;
        }
    }
    g_string_append(out, count == 0 ? "all" : "not");
}

/* The store drops its history: for a second before, watches hear of nothing.
 */
static void
fleet_compact(struct fleet *fleet)
{
    fleet->gap_us = fleet->now_us + 1000 * MS;
    fleet_run(fleet, 500 * MS);
    fleet_change(fleet, OBJECT_BACKENDS);
    fleet_run(fleet, 500 * MS);
    fleet->floor = fleet->revision;
    for (uint32_t i = 0; i < fleet->count; i++) {
        struct vm *vm = &fleet->vms[i];
        for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
            struct call *call = &vm->calls[kind];
            if (call->state == CALL_OPEN && call->fetch.is_watch) {
                vm_fail_call(vm, call, RC_STORE_DOWN);
            }
        }
    }
}

/* > compact: one VM, with the moment moved over its watches; the moments after
 * which it does not know within 2.5 s what changed meanwhile. */
static void
run_compact(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    uint32_t missed_count = 0;
    for (int64_t at_ms = 0; at_ms < 1200; at_ms += 10) {
        fleet_open(fleet, 1, 1);
        fleet_run(fleet, at_ms * MS);
        fleet_compact(fleet);
        fleet_run(fleet, 2500 * MS);
        missed_count += vm_knows_all(&fleet->vms[0]) ? 0 : 1;
    }
    g_string_append_printf(out, "missed=%u", missed_count);
}

/* > silent MS: the store answers nothing, and later not what was open. */
static void
run_silent(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    fleet->silent_us = fleet->now_us + script_number(argc, argv, 1) * MS;
    for (uint32_t i = 0; i < fleet->count; i++) {
        for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
            struct call *call = &fleet->vms[i].calls[kind];
            if (call->state == CALL_OPEN && call->peer == VM_MAX) {
                call->state = CALL_DEAD;
            }
        }
    }
}

/* > deaf MS: the store forgets each watch that waits. */
static void
run_deaf(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    fleet->deaf_us = fleet->now_us + script_number(argc, argv, 1) * MS;
}

/* > lost VM...: nothing more comes on their connections to the store. */
static void
run_lost(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    for (int i = 1; i < argc; i++) {
        struct vm *vm = &fleet->vms[vm_index(argv[i])];
        for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
            if (vm->calls[kind].peer == VM_MAX) {
                vm->calls[kind].state = CALL_DEAD;
            }
        }
    }
}

/* > refuse MS VM...: the store refuses their calls. */
static void
run_refuse(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    for (int i = 2; i < argc; i++) {
        fleet->vms[vm_index(argv[i])].refused_us =
            fleet->now_us + script_number(argc, argv, 1) * MS;
    }
}

/* > refuse-hubs MS */
static void
run_refuse_hubs(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    for (uint32_t i = 0; i < fleet->count; i++) {
        struct vm *vm = &fleet->vms[i];
        if (!member_is_follower(&vm->members, fleet->now_us)) {
            vm->refused_us = fleet->now_us + script_number(argc, argv, 1) * MS;
        }
    }
}

/* > cut MS VM...: no VM reaches them. */
static void
run_cut(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    for (int i = 2; i < argc; i++) {
        fleet->vms[vm_index(argv[i])].cut_us =
            fleet->now_us + script_number(argc, argv, 1) * MS;
    }
}

/* > freeze MS VM... */
static void
run_freeze(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    for (int i = 2; i < argc; i++) {
        fleet->vms[vm_index(argv[i])].frozen_us =
            fleet->now_us + script_number(argc, argv, 1) * MS;
    }
}

/* > loss PERMILLE: of heartbeats. */
static void
run_loss(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    fleet->loss_permille = (uint32_t)script_number(argc, argv, 1);
}

/* > calls MS MAX ALL: runs; whether a VM makes at most MAX calls to the store,
 * and all together at most ALL. */
static void
run_calls(void *ctx, int argc, char **argv, GString *out)
{
    struct fleet *fleet = ctx;
    for (uint32_t i = 0; i < fleet->count; i++) {
        fleet->vms[i].call_count = 0;
    }
    fleet_run(fleet, script_number(argc, argv, 1) * MS);
    uint64_t most = 0;
    uint64_t all = 0;
    for (uint32_t i = 0; i < fleet->count; i++) {
        most = MAX(most, fleet->vms[i].call_count);
        all += fleet->vms[i].call_count;
    }
    bool is_within = most <= (uint64_t)script_number(argc, argv, 2) &&
                     all <= (uint64_t)script_number(argc, argv, 3);
    if (is_within) {
        g_string_append(out, "within");
        return;
    }
    g_string_append_printf(out, "most=%" PRIu64 " all=%" PRIu64, most, all);
}

static const struct script_command commands[] = {
    {"vms", run_vms},
    {"run", run_run},
    {"change", run_change},
    {"known", run_known},
    {"silent", run_silent},
    {"deaf", run_deaf},
    {"lost", run_lost},
    {"compact", run_compact},
    {"refuse-hubs", run_refuse_hubs},
    {"refuse", run_refuse},
    {"cut", run_cut},
    {"freeze", run_freeze},
    {"loss", run_loss},
    {"calls", run_calls},
};

static void
test_follow(void **state)
{
    static struct fleet fleet;
    assert_int_equal(script_run(SCRIPT_DIR "/follow.txt", commands,
                                G_N_ELEMENTS(commands), &fleet),
                     0);
    fleet_clear(&fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_follow),
    };
    return cmocka_run_group_tests_name("gateway-follow", tests, NULL, NULL);
}
