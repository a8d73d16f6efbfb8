#include "common/opt.h"
#include "common/rc.h"
#include "ctl/ctl.h"

#define HOUR_MS (60 * 60 * INT64_C(1000))

int
ctl_options_parse(struct ctl_options *options, int *argc, char ***argv,
                  const char *summary)
{
    *options = (struct ctl_options){.expect_revision = -1};
    const struct opt_spec specs[] = {
        {.name = "base",
         .kind = OPT_STRING,
         .target = &options->base,
         .help = "Base file of the configuration",
         .arg = "FILE"},
        {.name = "overlay",
         .kind = OPT_STRING,
         .target = &options->overlay,
         .help = "Overlay of the site, merged into the base file",
         .arg = "FILE"},
        {.name = "store",
         .kind = OPT_ADDRESS,
         .target = &options->store,
         .help = "Address of the platform's store",
         .arg = "IPV4:PORT"},
        {.name = "gateways",
         .kind = OPT_STRING,
         .target = &options->gateways,
         .help = "HTTP addresses of the VMs",
         .arg = "IPV4:PORT,..."},
        {.name = "json",
         .kind = OPT_FLAG,
         .target = &options->is_json,
         .help = "Print JSON instead of lines of text"},
        {.name = "timeout-ms",
         .kind = OPT_INT,
         .target = &options->timeout_ms,
         .help = "Time limit of the whole command (10000; watch: none)",
         .arg = "MS",
         .min = 1,
         .max = 24 * HOUR_MS},
        {.name = "expect-revision",
         .kind = OPT_INT,
         .target = &options->expect_revision,
         .help = "apply, zone: refuse unless this revision is stored",
         .arg = "N",
         .max = INT64_MAX},
    };
    return opt_parse(argc, argv, specs, G_N_ELEMENTS(specs),
                     "COMMAND [ARGUMENT...]", summary);
}

void
ctl_options_clear(struct ctl_options *options)
{
    g_free(options->base);
    g_free(options->overlay);
    g_free(options->store);
    g_free(options->gateways);
}
