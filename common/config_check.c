#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/config_checker.h"
#include "common/net.h"
#include "common/rc.h"

#define NAME_MAX_BYTES 63
/* How much of a wrong text an error quotes, to keep it one short line. */
#define QUOTE_MAX_CHARS 64

typedef int (*config_check_cb)(struct config_checker *checker,
                               const struct config_field *field,
                               const json_t *value);

void
config_error_clear(struct config_error *error)
{
    g_free(error->path);
    g_free(error->text);
    *error = (struct config_error){.path = NULL};
}

/*
 * The start of a wrong text in quotes, with control characters replaced so
 * that it fits on one line; free with g_free.
 */
static char *
config_quote(const json_t *value)
{
    const char *text = json_string_value(value);
    glong length = g_utf8_strlen(text, -1);
    char *start = g_utf8_substring(text, 0, MIN(length, QUOTE_MAX_CHARS));
    for (char *at = start; *at != '\0'; at++) {
        *at = g_ascii_iscntrl(*at) ? '?' : *at;
    }
    char *quote = g_strdup_printf("'%s%s'", start,
                                  length > QUOTE_MAX_CHARS ? "..." : "");
    g_free(start);
    return quote;
}

static int
config_fail_value(struct config_checker *checker, const json_t *value,
                  const char *expected)
{
    char *quote = config_quote(value);
    int rc = config_checker_fail(checker, "%s is not %s", quote, expected);
    g_free(quote);
    return rc;
}

static bool
config_is_name(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length > NAME_MAX_BYTES) {
        return false;
    }
    const char *allowed = "abcdefghijklmnopqrstuvwxyz0123456789_.-";
    return strspn(text, allowed) == length && g_ascii_isalnum(text[0]);
}

/*
 * Accepts an address in canonical form only. Otherwise two texts could stand
 * for the same searcher and the check for duplicates would miss it.
 */
static bool
config_is_address(const char *text)
{
    struct sockaddr_in address;
    if (net_parse(text, &address) != RC_OK) {
        return false;
    }
    char host[INET_ADDRSTRLEN];
    (void)inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
    char *canonical = g_strdup_printf("%s:%u", host, ntohs(address.sin_port));
    bool is_canonical = strcmp(canonical, text) == 0;
    g_free(canonical);
    return is_canonical;
}

static int
config_check_name(struct config_checker *checker,
                  const struct config_field *field, const json_t *value)
{
    if (!json_is_string(value)) {
        return config_checker_fail(checker, "must be a string");
    }
    return config_is_name(json_string_value(value))
               ? RC_OK
               : config_fail_value(checker, value,
                                   "a name: [a-z0-9][a-z0-9_.-]{0,62}");
}

static int
config_check_address(struct config_checker *checker,
                     const struct config_field *field, const json_t *value)
{
    if (!json_is_string(value)) {
        return config_checker_fail(checker, "must be a string");
    }
    return config_is_address(json_string_value(value))
               ? RC_OK
               : config_fail_value(checker, value, "IPV4:PORT");
}

static int
config_check_number(struct config_checker *checker,
                    const struct config_field *field, const json_t *value)
{
    if (!json_is_integer(value)) {
        char *quote = json_is_string(value) ? config_quote(value) : NULL;
        int rc = config_checker_fail(
            checker, "must be a whole number in %" PRId64 "..%" PRId64 "%s%s",
            field->min, field->max, quote != NULL ? ", not the text " : "",
            quote != NULL ? quote : "");
        g_free(quote);
        return rc;
    }
    int64_t number = json_integer_value(value);
    if (number < field->min || number > field->max) {
        return config_checker_fail(
            checker, "%" PRId64 " is outside %" PRId64 "..%" PRId64, number,
            field->min, field->max);
    }
    return RC_OK;
}

static int
config_check_choice(struct config_checker *checker,
                    const struct config_field *field, const json_t *value)
{
    const char *text = json_string_value(value);
    if (text == NULL || (strcmp(text, field->choices[0]) != 0 &&
                         strcmp(text, field->choices[1]) != 0)) {
        return config_checker_fail(checker, "must be '%s' or '%s'",
                                   field->choices[0], field->choices[1]);
    }
    return RC_OK;
}

static int config_check_item(struct config_checker *checker,
                             const struct config_schema *schema,
                             const json_t *value);

/* Checks that no earlier item of the list has the item's name. */
static int
config_check_name_unique(struct config_checker *checker, GHashTable *names,
                         const json_t *item)
{
    const char *name = json_string_value(json_object_get(item, "name"));
    if (name == NULL || g_hash_table_add(names, (gpointer)name)) {
        return RC_OK;
    }
    gsize saved_len = config_checker_push_key(checker, "name");
    int rc =
        config_checker_fail(checker, "'%s' is used twice in this list", name);
    config_checker_pop(checker, saved_len);
    return rc;
}

static int
config_check_list(struct config_checker *checker,
                  const struct config_field *field, const json_t *value)
{
    if (!json_is_array(value)) {
        return config_checker_fail(checker, "must be a list");
    }
    if (checker->scope == CONFIG_COMPLETE &&
        json_array_size(value) < (size_t)field->min) {
        return config_checker_fail(checker, "needs at least %" PRId64 " item",
                                   field->min);
    }
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    int rc = RC_OK;
    for (size_t i = 0; rc == RC_OK && i < json_array_size(value); i++) {
        const json_t *item = json_array_get(value, i);
        gsize saved_len = config_checker_push_index(checker, i);
        rc = config_check_item(checker, field->item, item);
        if (rc == RC_OK) {
            rc = config_check_name_unique(checker, names, item);
        }
        config_checker_pop(checker, saved_len);
    }
    g_hash_table_destroy(names);
    return rc;
}

static const config_check_cb config_checks[CONFIG_KIND_COUNT] = {
    [CONFIG_NAME] = config_check_name,
    [CONFIG_ADDRESS] = config_check_address,
    [CONFIG_NUMBER] = config_check_number,
    [CONFIG_CHOICE] = config_check_choice,
    [CONFIG_LIST] = config_check_list,
};

static int
config_check_required(struct config_checker *checker,
                      const struct config_schema *schema, const json_t *object)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        const struct config_field *field = &schema->fields[i];
        if (field->is_required &&
            json_object_get(object, field->key) == NULL) {
            gsize saved_len = config_checker_push_key(checker, field->key);
            int rc = config_checker_fail(checker, "is missing");
            config_checker_pop(checker, saved_len);
            return rc;
        }
    }
    return RC_OK;
}

static int
config_check_item(struct config_checker *checker,
                  const struct config_schema *schema, const json_t *value)
{
    if (!json_is_object(value)) {
        return config_checker_fail(checker, "must be a map");
    }
    const char *key = NULL;
    json_t *member = NULL;
    json_object_foreach((json_t *)value, key, member)
    {
        const struct config_field *field = config_schema_find(schema, key);
        gsize saved_len = config_checker_push_key(checker, key);
        int rc = field == NULL
                     ? config_checker_fail(checker, "unknown key")
                     : config_checks[field->kind](checker, field, member);
        config_checker_pop(checker, saved_len);
        if (rc != RC_OK) {
            return rc;
        }
    }
    if (checker->scope == CONFIG_PARTIAL) {
        return RC_OK;
    }
    return config_check_required(checker, schema, value);
}

int
config_check(const json_t *document, enum config_scope scope,
             struct config_error *error)
{
    struct config_checker checker = {
        .path = g_string_new(NULL),
        .error = error,
        .scope = scope,
    };
    int rc = config_check_item(&checker, &config_schema_document, document);
    if (rc == RC_OK && scope == CONFIG_COMPLETE) {
        rc = config_check_references(&checker, document);
    }
    g_string_free(checker.path, TRUE);
    return rc;
}
