#include <glib.h>
#include <signal.h>

#include "common/log.h"
#include "common/opt.h"
#include "common/rc.h"
#include "gateway/app.h"
#include "platform/platform.h"

int
main(int argc, char **argv)
{
    char *settings = NULL;
    const struct opt_spec specs[] = {
        {.name = "settings",
         .kind = OPT_STRING,
         .target = &settings,
         .help = "Settings file",
         .arg = "FILE",
         .required = 1},
    };
    if (opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                  "carobhatch gateway") != RC_OK) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    int rc = log_open("gateway", "starting", "info");
    if (rc == RC_OK) {
        log_to_stdout();
        rc = app_run(settings, &plt_wire);
        log_close();
    }
    g_free(settings);
    return rc == RC_OK ? 0 : 1;
}
