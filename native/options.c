#include <stdio.h>
#include <string.h>

#include "common/net.h"
#include "common/opt.h"
#include "common/rc.h"
#include "native/server.h"

/* Flags, environment variables and defaults of the native interface. */

#define SERVER_CAPACITY_PERMILLE 1000
#define SERVER_FILES 4096
#define SERVER_MEMORY_MB 256
/* After SIGTERM callers use a cached address for up to three times its TTL;
 * then the requests in flight complete. */
#define SERVER_GRACE_MS 10000
#define SERVER_EXTRA_PERMILLE 30
/* If all connections of a VM are cut, the request on each is lost and must be
 * retried. */
#define SERVER_EXTRA_COUNT 200
#define SERVER_WARMUP_OVERSHOOT_PERMILLE 1000
#define SERVER_CONFIG_APPLY_MS 3000

/* Checks the flags that have no default and prints the first missing one. */
static bool
server_has_required_flags(const struct settings *settings)
{
    const struct {
        const char *flag;
        bool is_set;
    } required[] = {
        {"--vm", settings->vm != NULL},
        {"--data-centre", settings->dc != NULL},
        {"--listen", settings->request_listen != NULL},
        {"--peer-port", settings->peer_port != 0},
        {"--store", settings->store != NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
        if (!required[i].is_set) {
            (void)fprintf(stderr,
                          "usage: %s is required unless --settings is given\n",
                          required[i].flag);
            return false;
        }
    }
    return true;
}

static int
server_check_flags(struct settings *settings)
{
    if (!server_has_required_flags(settings)) {
        return RC_USAGE;
    }
    if (!request_id_is_vm_name(settings->vm)) {
        (void)fprintf(stderr,
                      "usage: --vm: '%s' must be 1 to %d letters, digits, "
                      "'-', '_' or '.'\n",
                      settings->vm, REQUEST_ID_VM_MAX_BYTES);
        return RC_USAGE;
    }
    const char *colon = strchr(settings->request_listen, ':');
    settings->ip = g_strndup(settings->request_listen,
                             (gsize)(colon - settings->request_listen));
    return RC_OK;
}

int
server_options_parse(int *argc, char ***argv, char **settings_path,
                     struct settings *settings)
{
    *settings = (struct settings){
        .capacity = SERVER_CAPACITY_PERMILLE,
        .files = SERVER_FILES,
        .memory_mb = SERVER_MEMORY_MB,
        .grace_ms = SERVER_GRACE_MS,
        .extra_permille = SERVER_EXTRA_PERMILLE,
        .extra_count = SERVER_EXTRA_COUNT,
        .warmup_overshoot_permille = SERVER_WARMUP_OVERSHOOT_PERMILLE,
        .config_apply_ms = SERVER_CONFIG_APPLY_MS,
        .address_ttl_max_ms = APP_ADDRESS_TTL_MS,
    };
    const struct opt_spec specs[] = {
        OPT_SPEC_STRING(
            "settings", settings_path, "FILE",
            "Settings file of the platform; all other flags are ignored"),
        OPT_SPEC_STRING("vm", &settings->vm, "NAME", "Name of this VM"),
        OPT_SPEC_STRING("data-centre", &settings->dc, "NAME",
                        "Data centre of this VM, a zone of the configuration"),
        OPT_SPEC_ADDRESS("listen", &settings->request_listen,
                         "HTTP address for callers and operators"),
        OPT_SPEC_INT(
            "peer-port", &settings->peer_port, 1, 65535, "PORT",
            "UDP and TCP port for the other VMs, at the same address"),
        OPT_SPEC_ADDRESS("store", &settings->store,
                         "Address of the platform's store"),
        OPT_SPEC_INT("grace-ms", &settings->grace_ms, 500, 600000, "MS",
                     "Longest time from SIGTERM to exit (10000)"),
        OPT_SPEC_INT(
            "capacity", &settings->capacity, 1, 1000000, "N",
            "Capacity of the process in thousandths of a core (1000)"),
        OPT_SPEC_INT("files", &settings->files, ALLOT_FILES_MIN, 10000000, "N",
                     "Limit of open file descriptors (4096)"),
        OPT_SPEC_INT(
            "memory-mb", &settings->memory_mb, ALLOT_MEMORY_MIN_MB, 10000000,
            "N", "Limit of the memory that the process uses, in MiB (256)"),
        OPT_SPEC_INT("extra-permille", &settings->extra_permille, 0, 1000, "N",
                     "Hedges and retries per 1000 shard requests, all VMs "
                     "together (30)"),
        OPT_SPEC_INT(
            "extra-count", &settings->extra_count, 0, 1000000, "N",
            "Largest burst of hedges and retries, all VMs together (200)"),
    };
    int rc = opt_parse(argc, argv, specs, G_N_ELEMENTS(specs), NULL,
                       "carobhatch gateway");
    if (rc != RC_OK || *settings_path != NULL) {
        return rc;
    }
    return server_check_flags(settings);
}
