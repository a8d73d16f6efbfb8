#include <glib.h>

#include "entry/options.h"
#include "common/opt.h"
#include "common/rc.h"

int
entry_options_parse(struct entry_options *options, int argc, char **argv)
{
    *options = (struct entry_options){
        .log_level = g_strdup("info"),
    };
    const struct opt_spec specs[] = {
        {.name = "machine",
         .kind = OPT_STRING,
         .target = &options->machine,
         .help = "Name of this machine",
         .arg = "NAME",
         .required = 1},
        {.name = "zone",
         .kind = OPT_STRING,
         .target = &options->zone,
         .help = "Zone of this machine",
         .arg = "NAME",
         .required = 1},
        {.name = "log-level",
         .kind = OPT_STRING,
         .target = &options->log_level,
         .help = "error, warn, info or debug",
         .arg = "LEVEL"},
    };
    return opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                     "carobhatch entry");
}
