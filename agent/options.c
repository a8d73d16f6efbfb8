#include <glib.h>

#include "agent/options.h"
#include "common/opt.h"
#include "common/rc.h"

int
agent_options_parse(struct agent_options *options, int argc, char **argv)
{
    *options = (struct agent_options){
        .cell = g_strdup("main"),
        .entry_address = g_strdup(""),
        .peer_address = g_strdup(""),
        .relay_address = g_strdup(""),
        .peers = g_strdup(""),
        .drain_ms = 15000,
        .log_level = g_strdup("info"),
    };
    const struct opt_spec specs[] = {
        OPT_MACHINE_SPECS(options),
        {.name = "cell",
         .kind = OPT_STRING,
         .target = &options->cell,
         .help = "Cell whose members vote on each other (main)",
         .arg = "NAME"},
        {.name = "listen",
         .kind = OPT_ADDRESS,
         .target = &options->listen,
         .help = "ZeroMQ address for peers, entry and relay",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "http-listen",
         .kind = OPT_ADDRESS,
         .target = &options->http_listen,
         .help = "HTTP address for operators",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "store",
         .kind = OPT_ADDRESS,
         .target = &options->store,
         .help = "HTTP address of the platform's object store",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "entry-address",
         .kind = OPT_ADDRESS,
         .target = &options->entry_address,
         .help = "HTTP address of this machine's entry, for callers",
         .arg = "IPV4:PORT"},
        {.name = "peer-address",
         .kind = OPT_ADDRESS,
         .target = &options->peer_address,
         .help = "ZeroMQ address of this machine's entry, for other entries",
         .arg = "IPV4:PORT"},
        {.name = "relay-address",
         .kind = OPT_ADDRESS,
         .target = &options->relay_address,
         .help = "ZeroMQ address of this machine's relay",
         .arg = "IPV4:PORT"},
        {.name = "peers",
         .kind = OPT_STRING,
         .target = &options->peers,
         .help = "Agents to use before the platform's list is read",
         .arg = "IPV4:PORT,..."},
        {.name = "drain-ms",
         .kind = OPT_INT,
         .target = &options->drain_ms,
         .help = "Longest time of a planned stop in ms (15000)",
         .arg = "MS",
         .max = 600000},
        {.name = "drop-permille",
         .kind = OPT_INT,
         .target = &options->drop_permille,
         .help = "For tests: share of messages from agents to drop (0)",
         .arg = "N",
         .max = 1000},
    };
    return opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                     "carobhatch agent");
}

void
agent_options_clear(struct agent_options *options)
{
    g_free(options->machine);
    g_free(options->zone);
    g_free(options->cell);
    g_free(options->listen);
    g_free(options->http_listen);
    g_free(options->store);
    g_free(options->entry_address);
    g_free(options->peer_address);
    g_free(options->relay_address);
    g_free(options->peers);
    g_free(options->log_level);
}
