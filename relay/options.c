#include <glib.h>

#include "relay/options.h"
#include "common/opt.h"
#include "common/rc.h"

int
relay_options_parse(struct relay_options *options, int argc, char **argv)
{
    *options = (struct relay_options){
        .log_level = g_strdup("info"),
    };
    const struct opt_spec specs[] = {
        OPT_MACHINE_SPECS(options),
        {.name = "listen",
         .kind = OPT_ADDRESS,
         .target = &options->listen,
         .help = "Address for entries (ZeroMQ)",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "http-listen",
         .kind = OPT_ADDRESS,
         .target = &options->http_listen,
         .help = "Address for operators (HTTP)",
         .arg = "IPV4:PORT",
         .required = 1},
        {.name = "agent",
         .kind = OPT_ADDRESS,
         .target = &options->agent,
         .help = "Address of the local agent (ZeroMQ)",
         .arg = "IPV4:PORT",
         .required = 1},
    };
    return opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                     "carobhatch relay");
}

void
relay_options_clear(struct relay_options *options)
{
    g_free(options->machine);
    g_free(options->zone);
    g_free(options->listen);
    g_free(options->http_listen);
    g_free(options->agent);
    g_free(options->log_level);
}
