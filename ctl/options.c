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
        OPT_SPEC_STRING("base", &options->base, "FILE",
                        "Base file of the configuration"),
        OPT_SPEC_STRING("overlay", &options->overlay, "FILE",
                        "Overlay of the site, merged into the base file"),
        OPT_SPEC_ADDRESS("store", &options->store,
                         "Address of the platform's store"),
        OPT_SPEC_STRING("gateways", &options->gateways, "IPV4:PORT,...",
                        "HTTP addresses of the VMs"),
        {.name = "json",
         .kind = OPT_FLAG,
         .target = &options->is_json,
         .help = "Print JSON instead of lines of text"},
        OPT_SPEC_INT("timeout-ms", &options->timeout_ms, 1, 24 * HOUR_MS, "MS",
                     "Time limit of the whole command (10000; watch: none)"),
        OPT_SPEC_INT("expect-revision", &options->expect_revision, 0,
                     INT64_MAX, "N",
                     "apply, zone: refuse unless this revision is stored"),
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
