#include <glib.h>
#include <stdio.h>

#include "common/opt.h"
#include "common/rc.h"
#include "entry/options.h"
#include "entry/reqid.h"

/* Longer than the time to live of the address list that callers copy. */
#define ENTRY_DRAIN_MS 6000

int
entry_options_parse(struct entry_options *options, int argc, char **argv)
{
    *options = (struct entry_options){
        .log_level = g_strdup("info"),
        .drain_ms = ENTRY_DRAIN_MS,
    };
    const struct opt_spec specs[] = {
        OPT_MACHINE_SPECS(options),
        {.name = "http-listen",
         .kind = OPT_ADDRESS,
         .target = &options->http_listen,
         .help = "HTTP address for callers",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "peer-listen",
         .kind = OPT_ADDRESS,
         .target = &options->peer_listen,
         .help = "ZeroMQ address for other entries",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "agent",
         .kind = OPT_ADDRESS,
         .target = &options->agent,
         .help = "ZeroMQ address of the local agent",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "drain-ms",
         .kind = OPT_INT,
         .target = &options->drain_ms,
         .help = "Time to keep serving after SIGTERM (default 6000)",
         .arg = "MS",
         .min = 0,
         .max = 600000},
    };
    int rc = opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                       "carobhatch entry");
    if (rc == RC_OK && !rid_is_machine_name(options->machine)) {
        (void)fprintf(
            stderr,
            "usage: --machine: '%s' must be 1 to %d letters, digits, '-', "
            "'_' or '.'\n",
            options->machine, RID_MAX_MACHINE_BYTES);
        rc = RC_USAGE;
    }
    return rc;
}

void
entry_options_clear(struct entry_options *options)
{
    g_free(options->machine);
    g_free(options->zone);
    g_free(options->http_listen);
    g_free(options->peer_listen);
    g_free(options->agent);
    g_free(options->log_level);
}
