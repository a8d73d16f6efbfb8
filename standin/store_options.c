#include <glib.h>

#include "common/opt.h"
#include "common/rc.h"
#include "standin/store.h"

int
store_options_parse(struct store_options *options, int argc, char **argv)
{
    *options = (struct store_options){
        .log_level = g_strdup("info"),
    };
    const struct opt_spec specs[] = {
        {.name = "listen",
         .kind = OPT_ADDRESS,
         .target = &options->listen,
         .help = "Address to listen on",
         .arg = "IPV4:PORT",
         .required = 1},
        OPT_SPEC_STRING("log-level", &options->log_level, "LEVEL",
                        "error, warn, info or debug (info)"),
    };
    return opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                     "Simulated object store of the platform");
}
