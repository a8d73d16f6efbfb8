#include <fcntl.h>
#include <signal.h>
#include <string.h>

#include "soak.h"

#define VM_RESTART_MS 300
/* Longest time that a new process needs to install its signal handlers. */
#define VM_HANDLER_SETUP_US (SOAK_SECOND_US / 10)

static void
vm_write_settings(struct vm *vm)
{
    char store[SOAK_ADDRESS_BYTES];
    soak_address(vm->soak, SOAK_STANDIN_HOST,
                 SOAK_STORE_PROXY_PORT + vm->index, store);
    char *text = g_strdup_printf(
        "[vm]\nname = %s\ndata_centre = dc%d\nip = %s\ncores = 0.25\n"
        "files = 1000\n"
        "[listen]\nrequests = %s:23400\nready = %s:23401\n"
        "directory = %s:23402\npeer_port = 23403\nmetrics_port = 23404\n"
        "[store]\naddress = %s\n[stop]\ngrace_s = %lld\n"
        "[retries]\nextra_ratio = 0.2\nextra_count = %d\n"
        "[warmup]\novershoot_ratio = 1.5\nslack = 5\n"
        "[config]\napply_ms = %lld\n[drain]\nms = "
        "3000\n[directory]\nttl_max_s = 5\n",
        vm->name, vm->index % SOAK_DCS, vm->ip, vm->ip, vm->ip, vm->ip, store,
        SOAK_GRACE_US / SOAK_SECOND_US, SOAK_BUDGET_COUNT,
        SOAK_CONFIG_LIMIT_US / 1000);
    g_assert_true(g_file_set_contents(vm->settings, text, -1, NULL));
    g_free(text);
}

static void
vm_on_restart_closed(uv_handle_t *handle)
{
    g_free(handle);
}

static void
vm_on_restart(uv_timer_t *timer)
{
    vm_start(timer->data);
    uv_close((uv_handle_t *)timer, vm_on_restart_closed);
}

static void
vm_on_exit(uv_process_t *process, int64_t status, int signal)
{
    struct vm *vm = process->data;
    struct soak *soak = vm->soak;
    vm->is_running = false;
    bool was_signalled = vm->was_killed || vm->is_stopping;
    /* A process without signal handlers is terminated by SIGTERM itself. */
    bool is_early = signal == SIGTERM &&
                    vm->stopped_us - vm->started_us < VM_HANDLER_SETUP_US;
    bool is_clean = status == 0 && (signal == 0 || is_early);
    if (!was_signalled || (!vm->was_killed && !is_clean)) {
        soak_violation(soak, "exit",
                       "%s ended unexpectedly status=%" G_GINT64_FORMAT
                       " signal=%d",
                       vm->name, status, signal);
    }
    /* A process that was paused during its stop cannot meet the limit. */
    bool was_paused =
        vm->is_paused || vm->paused_or_resumed_us > vm->stopped_us;
    if (vm->is_stopping && !vm->was_killed && !was_paused &&
        soak_now_us() - vm->stopped_us > SOAK_GRACE_US) {
        soak_violation(soak, "stop",
                       "%s took longer than its grace period to stop",
                       vm->name);
    }
    vm->disturbed_us = soak_now_us();
    uv_close((uv_handle_t *)process, NULL);
    if (soak->end_us == 0) {
        return;
    }
    uv_timer_t *timer = g_new0(uv_timer_t, 1);
    uv_timer_init(&soak->loop, timer);
    timer->data = vm;
    uv_timer_start(timer, vm_on_restart, VM_RESTART_MS, 0);
}

void
vm_start(struct vm *vm)
{
    struct soak *soak = vm->soak;
    if (vm->is_running || soak->end_us == 0) {
        return;
    }
    char *path = g_strdup_printf("%s/%s.log", soak->folder, vm->name);
    int log = open(path, O_CREAT | O_WRONLY | O_APPEND, 0644);
    g_free(path);
    char *args[] = {(char *)soak->gateway, (char *)"--settings", vm->settings,
                    NULL};
    uv_stdio_container_t stdio[] = {
        {.flags = UV_IGNORE},
        {.flags = UV_INHERIT_FD, .data.fd = log},
        {.flags = UV_INHERIT_FD, .data.fd = log},
    };
    uv_process_options_t options = {
        .exit_cb = vm_on_exit,
        .file = soak->gateway,
        .args = args,
        .stdio = stdio,
        .stdio_count = 3,
    };
    vm->process.data = vm;
    vm->is_stopping = false;
    vm->was_killed = false;
    vm->is_paused = false;
    vm->seen_version = 0;
    vm->incarnation += 1;
    vm->started_us = soak_now_us();
    vm->disturbed_us = soak_now_us();
    g_assert_cmpint(uv_spawn(&soak->loop, &vm->process, &options), ==, 0);
    vm->is_running = true;
    (void)close(log);
}

void
vm_signal(struct vm *vm, int number)
{
    if (!vm->is_running) {
        return;
    }
    int64_t now_us = soak_now_us();
    vm->disturbed_us = now_us;
    if (number == SIGTERM && !vm->is_stopping) {
        vm->is_stopping = true;
        vm->stopped_us = now_us;
    }
    vm->was_killed = vm->was_killed || number == SIGKILL;
    if (number == SIGSTOP || number == SIGCONT) {
        vm->is_paused = number == SIGSTOP;
        vm->paused_or_resumed_us = now_us;
    }
    (void)uv_process_kill(&vm->process, number);
}

void
vm_open(struct soak *soak, struct vm *vm, int index)
{
    char listen[SOAK_ADDRESS_BYTES];
    char store[SOAK_ADDRESS_BYTES];
    *vm = (struct vm){.soak = soak, .index = index};
    g_snprintf(vm->name, sizeof(vm->name), "vm%d", index);
    g_snprintf(vm->ip, sizeof(vm->ip), "127.0.%d.%d", soak->slot,
               SOAK_FIRST_VM_HOST + index);
    soak_address(soak, SOAK_STANDIN_HOST, SOAK_STORE_PROXY_PORT + index,
                 listen);
    soak_address(soak, SOAK_STANDIN_HOST, SOAK_STORE_PORT, store);
    vm->store_proxy = proxy_new(soak, listen, store);
    vm->settings = g_strdup_printf("%s/%s.ini", soak->folder, vm->name);
    vm_write_settings(vm);
    vm_start(vm);
}
