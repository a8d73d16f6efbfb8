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
        {.name = "settings",
         .kind = OPT_STRING,
         .target = settings_path,
         .help = "Settings file of the platform; all other flags are ignored",
         .arg = "FILE"},
        {.name = "vm",
         .kind = OPT_STRING,
         .target = &settings->vm,
         .help = "Name of this VM",
         .arg = "NAME"},
        {.name = "data-centre",
         .kind = OPT_STRING,
         .target = &settings->dc,
         .help = "Data centre of this VM, a zone of the configuration",
         .arg = "NAME"},
        {.name = "listen",
         .kind = OPT_ADDRESS,
         .target = &settings->request_listen,
         .help = "HTTP address for callers and operators",
         .arg = "IPV4:PORT"},
        {.name = "peer-port",
         .kind = OPT_INT,
         .target = &settings->peer_port,
         .help = "UDP and TCP port for the other VMs, at the same address",
         .arg = "PORT",
         .min = 1,
         .max = 65535},
        {.name = "store",
         .kind = OPT_ADDRESS,
         .target = &settings->store,
         .help = "Address of the platform's store",
         .arg = "IPV4:PORT"},
        {.name = "grace-ms",
         .kind = OPT_INT,
         .target = &settings->grace_ms,
         .help = "Longest time from SIGTERM to exit (10000)",
         .arg = "MS",
         .min = 500,
         .max = 600000},
        {.name = "capacity",
         .kind = OPT_INT,
         .target = &settings->capacity,
         .help = "Capacity of the process in thousandths of a core (1000)",
         .arg = "N",
         .min = 1,
         .max = 1000000},
        {.name = "files",
         .kind = OPT_INT,
         .target = &settings->files,
         .help = "Limit of open file descriptors (4096)",
         .arg = "N",
         .min = ALLOT_FILES_MIN,
         .max = 10000000},
        {.name = "memory-mb",
         .kind = OPT_INT,
         .target = &settings->memory_mb,
         .help = "Limit of the memory that the process uses, in MiB (256)",
         .arg = "N",
         .min = ALLOT_MEMORY_MIN_MB,
         .max = 10000000},
        {.name = "extra-permille",
         .kind = OPT_INT,
         .target = &settings->extra_permille,
         .help = "Hedges and retries per 1000 shard requests, all VMs "
                 "together (30)",
         .arg = "N",
         .max = 1000},
        {.name = "extra-count",
         .kind = OPT_INT,
         .target = &settings->extra_count,
         .help = "Largest burst of hedges and retries, all VMs together (200)",
         .arg = "N",
         .max = 1000000},
    };
    int rc = opt_parse(argc, argv, specs, G_N_ELEMENTS(specs), NULL,
                       "carobhatch gateway");
    if (rc != RC_OK || *settings_path != NULL) {
        return rc;
    }
    return server_check_flags(settings);
}
