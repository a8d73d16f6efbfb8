#include "native/native.h"

const struct wire native_wire = {
    .fetch_path = native_fetch_path,
    .read_objects = native_read_objects,
    .expand_document = native_expand_document,
    .read_config = native_read_config,
    .read_backend = native_read_backend,
    .vms_path = native_vms_path,
    .vms_stale_path = native_vms_list_path,
    .vms_expired_path = native_vms_expired_path,
    .write_vm = native_write_vm,
    .read_vm = native_read_vm,
    .write_request = native_write_request,
    .read_answer = native_read_answer,
};
